use std::fmt;

/// A text that cannot be parsed as an identifier; holds the start of the text.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Error {
    /// Not a job id.
    Job(String),
    /// Not a task id.
    Task(String),
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Error::Job(text) => write!(f, "`{text}` is not 16 hexadecimal digits"),
            Error::Task(text) => {
                write!(f, "`{text}` is not JOB.OCCURRENCE.STEP.INDEX")
            }
        }
    }
}

impl std::error::Error for Error {}

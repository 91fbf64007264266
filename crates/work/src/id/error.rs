use std::fmt;

/// A text that is not the name it should be.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Error {
    /// Not the id of a job.
    Job(String),
    /// Not the name of a task.
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

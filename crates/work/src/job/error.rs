use std::fmt;

/// Why a job definition is rejected.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Error {
    /// The job has no step or more than 64; holds the number of steps.
    Steps(usize),
    /// A step has no task, or the job has more than 4096; holds the number of tasks.
    Tasks(usize),
    /// A step depends on itself, on a later step or on one that does not exist.
    After {
        /// Position of the step.
        step: usize,
        /// Position of the step that it refers to.
        after: u16,
    },
    /// The description is longer than 4000 bytes; holds its length.
    Spec(usize),
    /// The job repeats more than 10,000 times; holds the number of occurrences.
    Occurrences(u32),
    /// A repeated job has an interval of 0.
    Interval,
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Error::Steps(count) => write!(f, "the job has {count} steps; give 1 to 64"),
            Error::Tasks(count) => write!(
                f,
                "a step has no task, or the job has too many ({count}); give 1 to 4096 in all"
            ),
            Error::After { step, after } => write!(
                f,
                "step {step} waits for step {after}; only earlier steps can be named"
            ),
            Error::Spec(bytes) => {
                write!(
                    f,
                    "the description has {bytes} bytes; at most 4000 are accepted"
                )
            }
            Error::Occurrences(count) => {
                write!(f, "the job repeats {count} times; give at most 10000")
            }
            Error::Interval => write!(f, "the job repeats without an interval"),
        }
    }
}

impl std::error::Error for Error {}

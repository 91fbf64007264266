use std::fmt;

/// Why a job's form cannot be accepted.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Error {
    /// The job has no step, or more than the largest number of them.
    Steps(usize),
    /// A step has no task, or the job more than the largest number of them.
    Tasks(usize),
    /// A step waits for itself, a later one or one that does not exist.
    After {
        /// The step.
        step: usize,
        /// The number that it names.
        after: u16,
    },
    /// The description is too long.
    Spec(usize),
    /// A repeated job has no interval.
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
            Error::Interval => write!(f, "the job repeats without an interval"),
        }
    }
}

impl std::error::Error for Error {}

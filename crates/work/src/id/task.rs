use {
    super::{Error, Job},
    serde::{Deserialize, Serialize},
    std::{fmt, str::FromStr},
};

/// Id of one task of a job, written as `JOB.OCCURRENCE.STEP.INDEX`.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Task {
    /// Job that the task belongs to.
    pub job: Job,
    /// Zero-based number of the occurrence; 0 for a job that runs once.
    pub occurrence: u32,
    /// Zero-based position of the step in the job.
    pub step: u16,
    /// Zero-based position of the task in the step.
    pub index: u16,
}

impl Task {
    /// Whether both tasks belong to the same step of the same occurrence.
    pub fn is_same_step(&self, other: &Task) -> bool {
        (self.job, self.occurrence, self.step) == (other.job, other.occurrence, other.step)
    }
}

impl fmt::Display for Task {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Task {
            job,
            occurrence,
            step,
            index,
        } = self;
        write!(f, "{job}.{occurrence}.{step}.{index}")
    }
}

impl FromStr for Task {
    type Err = Error;

    fn from_str(text: &str) -> Result<Task, Error> {
        let invalid = || Error::Task(text.chars().take(64).collect());
        let mut parts = text.split('.');
        let mut next = || parts.next().ok_or_else(invalid);
        let task = Task {
            job: next()?.parse().map_err(|_| invalid())?,
            occurrence: next()?.parse().map_err(|_| invalid())?,
            step: next()?.parse().map_err(|_| invalid())?,
            index: next()?.parse().map_err(|_| invalid())?,
        };
        match parts.next() {
            None => Ok(task),
            Some(_) => Err(invalid()),
        }
    }
}

use {
    super::{Error, Repeat, Step},
    serde::{Deserialize, Serialize},
};

/// The platform's limit for the opaque description of a job.
const MAX_SPEC_BYTES: usize = 4000;

/// Limit of the steps of a job; the largest known job has 4.
const MAX_STEPS: usize = 64;

/// Limit of the tasks of all steps together. The largest known job has about 700; the limit bounds the size of a log
/// entry.
const MAX_TASKS: usize = 4096;

/// Limit of the occurrences of a job; those that are due are examined in each planning round.
const MAX_OCCURRENCES: u32 = 10_000;

/// A job as its caller defines it.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Definition {
    /// Opaque description, passed to the upstreams unread; at most 4000 bytes.
    pub spec: String,
    /// Steps; each may depend on earlier ones.
    pub steps: Vec<Step>,
    /// When and how often the steps run. Without it they run once, immediately.
    pub repeat: Option<Repeat>,
}

impl Definition {
    /// Checks size limits, step dependencies and the repeat interval.
    pub fn check(&self) -> Result<(), Error> {
        if self.spec.len() > MAX_SPEC_BYTES {
            return Err(Error::Spec(self.spec.len()));
        }
        if self.steps.is_empty() || self.steps.len() > MAX_STEPS {
            return Err(Error::Steps(self.steps.len()));
        }
        let tasks: usize = self.steps.iter().map(|step| usize::from(step.count)).sum();
        if tasks > MAX_TASKS || self.steps.iter().any(|step| step.count == 0) {
            return Err(Error::Tasks(tasks));
        }
        for (number, step) in self.steps.iter().enumerate() {
            if let Some(after) = step
                .after
                .iter()
                .find(|after| usize::from(**after) >= number)
            {
                return Err(Error::After {
                    step: number,
                    after: *after,
                });
            }
        }
        match &self.repeat {
            Some(repeat) if repeat.count > MAX_OCCURRENCES => Err(Error::Occurrences(repeat.count)),
            Some(repeat) if repeat.count > 1 && repeat.interval_ms == 0 => Err(Error::Interval),
            _ => Ok(()),
        }
    }

    /// Number of times the steps run; at least 1.
    pub fn occurrences(&self) -> u32 {
        self.repeat.as_ref().map_or(1, |repeat| repeat.count.max(1))
    }

    /// Accelerators that all tasks of one occurrence need together.
    pub fn accelerators(&self) -> i64 {
        let steps = self.steps.iter();
        steps
            .map(|step| step.need.accelerators * i64::from(step.count))
            .sum()
    }
}

use {
    super::{Error, Repeat, Step},
    serde::{Deserialize, Serialize},
};

/// Longest description in bytes; the platform's page states it.
const MAX_SPEC_BYTES: usize = 4000;

/// Most steps of a job. The largest seen has 4.
const MAX_STEPS: usize = 64;

/// Most tasks of all steps. The largest seen has about 700; the bound keeps one command of the log small.
const MAX_TASKS: usize = 4096;

/// What a caller asks for.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Definition {
    /// Description for the upstreams, passed on unread.
    pub spec: String,
    /// The steps.
    pub steps: Vec<Step>,
    /// When and how often the steps run; at once and once without it.
    pub repeat: Option<Repeat>,
}

impl Definition {
    /// Checks sizes and the order of the steps.
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
            Some(repeat) if repeat.count > 1 && repeat.interval_ms == 0 => Err(Error::Interval),
            _ => Ok(()),
        }
    }

    /// How often the steps run.
    pub fn occurrences(&self) -> u32 {
        self.repeat.as_ref().map_or(1, |repeat| repeat.count.max(1))
    }

    /// Accelerators of all tasks together.
    pub fn accelerators(&self) -> i64 {
        let needs = self.steps.iter();
        needs
            .map(|step| step.need.accelerators * i64::from(step.count))
            .sum()
    }
}

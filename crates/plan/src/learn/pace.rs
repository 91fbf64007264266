use {
    indexmap::IndexMap,
    std::time::Duration,
    work::{book::Job, job::Step},
};

/// Share of a new observation in the learned ratio.
const WEIGHT: f64 = 0.2;

/// Bounds of the learned ratio; a few stragglers take many times as long and must not spoil it.
const RATIO: (f64, f64) = (0.2, 4.0);

/// Ratio of real to declared durations, for each queue and account.
#[derive(Clone, Debug, Default)]
pub struct Pace {
    ratios: IndexMap<(String, Option<String>), f64>,
}

impl Pace {
    /// A task of the step took this long on an upstream near its data.
    pub fn observe(&mut self, job: &Job, step: &Step, took: Duration) {
        if step.estimate_ms == 0 {
            return;
        }
        let observed = took.as_secs_f64() * 1000.0 / f64::from(step.estimate_ms);
        let observed = observed.clamp(RATIO.0, RATIO.1);
        let key = (job.queue.clone(), job.account.clone());
        let ratio = self.ratios.entry(key).or_insert(observed);
        *ratio += WEIGHT * (observed - *ratio);
    }

    /// How long a task of the step is expected to take near its data, in milliseconds.
    pub fn expected_ms(&self, job: &Job, step: &Step) -> f64 {
        let key = (job.queue.clone(), job.account.clone());
        let ratio = self.ratios.get(&key).copied().unwrap_or(1.0);
        f64::from(step.estimate_ms) * ratio
    }
}

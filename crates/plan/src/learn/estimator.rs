use {
    std::time::Duration,
    work::{collections::IndexMap, job::Step, registry::Job},
};

/// Weight of a new observation in the learned ratio.
const RATIO_WEIGHT: f64 = 0.2;

/// Bounds of one observed ratio; a few stragglers take many times as long and must not distort the estimate.
const RATIO_BOUNDS: (f64, f64) = (0.2, 4.0);

/// Bounds of one observation of a data centre's slowdown.
const SLOWDOWN_BOUNDS: (f64, f64) = (0.4, 2.5);

/// Weight of a new observation in a data centre's slowdown. It is small because single tasks differ by more than data
/// centres do.
const SLOWDOWN_WEIGHT: f64 = 0.05;

/// Estimates durations from the learned ratio of actual to declared ones, by queue and account.
#[derive(Clone, Debug, Default)]
pub struct Estimator {
    /// Ratio of actual to declared durations, by queue and account.
    ratios: IndexMap<String, Ratios>,
    /// Ratio of actual to expected durations, by data centre.
    slowdowns: IndexMap<String, f64>,
}

/// Ratios of actual to declared durations of a queue's tasks.
#[derive(Clone, Debug, Default)]
struct Ratios {
    accounts: IndexMap<String, f64>,
    /// Of jobs without an account.
    public: Option<f64>,
}

impl Estimator {
    /// Records the duration of a task of the step on an upstream near its data.
    pub fn observe(&mut self, job: &Job, step: &Step, data_centre: &str, took: Duration) {
        if step.estimate_ms == 0 {
            return;
        }
        let expected = self.expected_ms(job, step).max(1.0);
        let relative =
            (took.as_secs_f64() * 1000.0 / expected).clamp(SLOWDOWN_BOUNDS.0, SLOWDOWN_BOUNDS.1);
        let slowdown = self.slowdowns.entry(data_centre.to_owned()).or_insert(1.0);
        *slowdown += SLOWDOWN_WEIGHT * (relative - *slowdown);
        let observed = took.as_secs_f64() * 1000.0 / f64::from(step.estimate_ms);
        let observed = observed.clamp(RATIO_BOUNDS.0, RATIO_BOUNDS.1);
        let ratios = self.ratios.entry(job.queue.clone()).or_default();
        let ratio = match &job.account {
            Some(account) => ratios.accounts.entry(account.clone()).or_insert(observed),
            None => ratios.public.get_or_insert(observed),
        };
        *ratio += RATIO_WEIGHT * (observed - *ratio);
    }

    /// Slowdown of a data centre compared with the fastest one, in tenths; 0 if unknown.
    pub fn slowness(&self, data_centre: &str) -> u32 {
        let fastest = self
            .slowdowns
            .values()
            .copied()
            .fold(f64::INFINITY, f64::min);
        match self.slowdowns.get(data_centre) {
            Some(own) => ((own / fastest - 1.0) * 10.0) as u32,
            None => 0,
        }
    }

    /// Expected duration of a task of the step near its data, in milliseconds.
    pub fn expected_ms(&self, job: &Job, step: &Step) -> f64 {
        let ratios = self.ratios.get(&job.queue);
        let ratio = ratios.and_then(|ratios| match &job.account {
            Some(account) => ratios.accounts.get(account).copied(),
            None => ratios.public,
        });
        let ratio = ratio.unwrap_or(1.0);
        f64::from(step.estimate_ms) * ratio
    }
}

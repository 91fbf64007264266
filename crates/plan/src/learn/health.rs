use std::time::{Duration, Instant};

/// Failures without a success between them after which an upstream gets no work for a while. One failure can be
/// the job's own fault.
const FAILURE_LIMIT: u32 = 2;

/// First time without work; doubled each time it happens again before a success.
const FIRST_PAUSE: Duration = Duration::from_secs(3);

/// Most doublings of the time without work.
const MAX_DOUBLINGS: u32 = 3;

/// What the ends of runs tell of an upstream.
#[derive(Clone, Debug, Default)]
pub struct Health {
    failures: u32,
    pauses: u32,
    unavailable_until: Option<Instant>,
}

impl Health {
    /// A run was done.
    pub fn record_success(&mut self) {
        *self = Health::default();
    }

    /// A run failed.
    pub fn record_failure(&mut self, now: Instant) {
        self.failures += 1;
        if self.failures >= FAILURE_LIMIT {
            self.pause(now);
        }
    }

    /// A run stood still.
    pub fn record_stall(&mut self, now: Instant) {
        self.failures = self.failures.max(FAILURE_LIMIT - 1);
        self.pause(now);
    }

    fn pause(&mut self, now: Instant) {
        let doublings = self.pauses.min(MAX_DOUBLINGS);
        self.pauses += 1;
        self.unavailable_until = Some(now + FIRST_PAUSE * (1 << doublings));
    }

    /// Whether the upstream may get work.
    pub fn is_available(&self, now: Instant) -> bool {
        self.unavailable_until.is_none_or(|until| now >= until)
    }

    /// Whether the last run did not fail. Tasks that may fail only once more go nowhere else.
    pub fn last_run_succeeded(&self) -> bool {
        self.failures == 0
    }
}

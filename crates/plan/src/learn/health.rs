use std::time::{Duration, Instant};

/// Failures without a success between them after which an upstream gets no work for a while. One failure can be
/// the job's own fault.
const FAILURES: u32 = 2;

/// First time without work; doubled each time it happens again before a success.
const REST: Duration = Duration::from_secs(3);

/// Most doublings of the time without work.
const MAX_DOUBLINGS: u32 = 3;

/// What the ends of runs tell of an upstream.
#[derive(Clone, Debug, Default)]
pub struct Health {
    failures: u32,
    rests: u32,
    until: Option<Instant>,
}

impl Health {
    /// A run was done.
    pub fn record_success(&mut self) {
        *self = Health::default();
    }

    /// A run failed.
    pub fn record_failure(&mut self, now: Instant) {
        self.failures += 1;
        if self.failures >= FAILURES {
            self.rest(now);
        }
    }

    /// A run stood still.
    pub fn record_stall(&mut self, now: Instant) {
        self.failures = self.failures.max(FAILURES - 1);
        self.rest(now);
    }

    fn rest(&mut self, now: Instant) {
        let doublings = self.rests.min(MAX_DOUBLINGS);
        self.rests += 1;
        self.until = Some(now + REST * (1 << doublings));
    }

    /// Whether the upstream may get work.
    pub fn is_available(&self, now: Instant) -> bool {
        self.until.is_none_or(|until| now >= until)
    }

    /// Whether the last run did not fail. Tasks that may fail only once more go nowhere else.
    pub fn last_run_succeeded(&self) -> bool {
        self.failures == 0
    }
}

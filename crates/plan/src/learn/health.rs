use std::time::{Duration, Instant};

/// Consecutive failures after which an upstream gets no work for a while. A single failure may be the job's own fault.
const FAILURE_LIMIT: u32 = 2;

/// First pause without work; doubled with each further pause before a success.
const FIRST_PAUSE: Duration = Duration::from_secs(3);

/// Maximum number of doublings of the pause.
const MAX_DOUBLINGS: u32 = 3;

/// Health of an upstream, learned from the ends of its runs.
#[derive(Clone, Debug, Default)]
pub struct Health {
    failures: u32,
    pauses: u32,
    paused_at: Option<Instant>,
    unavailable_until: Option<Instant>,
}

impl Health {
    /// Records a run that is done.
    pub fn record_success(&mut self) {
        *self = Health::default();
    }

    /// Records a failed run.
    pub fn record_failure(&mut self, now: Instant) {
        self.failures += 1;
        if self.failures >= FAILURE_LIMIT {
            self.pause(now);
        }
    }

    /// Records a stalled run, which pauses the upstream at once.
    pub fn record_stall(&mut self, now: Instant) {
        self.failures = self.failures.max(FAILURE_LIMIT - 1);
        self.pause(now);
    }

    /// Pauses the upstream, longer each time. What ends during a pause was started before it and changes nothing.
    fn pause(&mut self, now: Instant) {
        if !self.is_available(now) {
            return;
        }
        let doublings = self.pauses.min(MAX_DOUBLINGS);
        self.pauses += 1;
        self.paused_at = Some(now);
        self.unavailable_until = Some(now + FIRST_PAUSE * (1 << doublings));
    }

    /// Whether the upstream may get work.
    pub fn is_available(&self, now: Instant) -> bool {
        self.unavailable_until.is_none_or(|until| now >= until)
    }

    /// Whether the upstream may get work if its pause is limited to a duration.
    pub fn is_available_after(&self, pause: Duration, now: Instant) -> bool {
        self.is_available(now) || self.paused_at.is_none_or(|at| now >= at + pause)
    }

    /// Whether the latest run did not fail. A task with one attempt left runs only on such upstreams.
    pub fn is_reliable(&self) -> bool {
        self.failures == 0
    }
}

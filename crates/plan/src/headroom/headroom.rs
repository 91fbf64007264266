use {
    std::time::{Duration, Instant},
    work::job::Resources,
};

/// Time constant of the decay of the level. It covers a few runs of urgent jobs, which take 2 to 3 s.
const DECAY_TIME: Duration = Duration::from_secs(8);

/// Decaying maximum of the accelerators that urgent work uses.
///
/// The next urgent job soon needs the accelerators that an earlier one has left. Other work started on them would be
/// preempted before it ends, and its progress would be lost.
#[derive(Clone, Copy, Debug)]
pub struct Headroom {
    /// Decaying maximum, in accelerators; at least `used`.
    level: f64,
    /// Accelerators in use at the latest observation.
    used: f64,
    /// Time of the latest observation.
    at: Instant,
}

impl Headroom {
    /// A level of 0: no urgent work has run yet.
    pub fn new(now: Instant) -> Headroom {
        Headroom {
            level: 0.0,
            used: 0.0,
            at: now,
        }
    }

    /// Records the resources that urgent work uses now.
    pub fn observe(&mut self, used: Resources, now: Instant) {
        let elapsed = now.saturating_duration_since(self.at);
        let decay = (-elapsed.as_secs_f64() / DECAY_TIME.as_secs_f64()).exp();
        self.at = now;
        self.used = used.accelerators as f64;
        self.level = self.used.max(self.used + (self.level - self.used) * decay);
    }

    /// Number of accelerators that other work must leave free.
    pub fn accelerators(&self) -> i64 {
        (self.level - self.used) as i64
    }
}

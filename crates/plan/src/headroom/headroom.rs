use {
    std::time::{Duration, Instant},
    work::job::Resources,
};

/// Time in which the level falls to about a third of the way to the present use. It spans a few runs of urgent jobs,
/// which take 2 to 3 s on the users' sheets.
const DECAY_TIME: Duration = Duration::from_secs(8);

/// Level of accelerators that urgent work has used lately.
///
/// Room that an urgent job leaves is wanted by the next one soon. Other work that is started there is stopped again
/// before it ends, and what it did is lost.
#[derive(Clone, Copy, Debug)]
pub struct Headroom {
    level: f64,
    used: f64,
    at: Instant,
}

impl Headroom {
    /// No urgent work has been seen.
    pub fn new(now: Instant) -> Headroom {
        Headroom {
            level: 0.0,
            used: 0.0,
            at: now,
        }
    }

    /// Urgent work uses this room now.
    pub fn observe(&mut self, used: Resources, now: Instant) {
        let elapsed = now.saturating_duration_since(self.at);
        let decay = (-elapsed.as_secs_f64() / DECAY_TIME.as_secs_f64()).exp();
        self.at = now;
        self.used = used.accelerators as f64;
        self.level = self.used.max(self.used + (self.level - self.used) * decay);
    }

    /// Accelerators that other work leaves free.
    pub fn accelerators(&self) -> i64 {
        (self.level - self.used) as i64
    }
}

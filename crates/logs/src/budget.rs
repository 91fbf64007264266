use std::time::{Duration, Instant};

/// Limits the lines a second, with a reserve for short bursts.
#[derive(Clone, Debug)]
pub struct Budget {
    per_second: f64,
    burst: f64,
    left: f64,
    at: Instant,
}

impl Budget {
    /// A full budget.
    pub fn new(per_second: u32, burst: u32, now: Instant) -> Budget {
        Budget {
            per_second: f64::from(per_second),
            burst: f64::from(burst),
            left: f64::from(burst),
            at: now,
        }
    }

    /// Takes one line from the budget; false if it is spent.
    pub fn take(&mut self, now: Instant) -> bool {
        let elapsed: Duration = now.saturating_duration_since(self.at);
        self.at = now;
        let left = self.left + elapsed.as_secs_f64() * self.per_second;
        self.left = left.min(self.burst);
        if self.left < 1.0 {
            return false;
        }
        self.left -= 1.0;
        true
    }
}

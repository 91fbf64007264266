use {
    super::Clock,
    std::{
        sync::{Mutex, PoisonError},
        time::{Duration, Instant, SystemTime},
    },
};

/// A clock that moves only when told to.
#[derive(Debug)]
pub struct Manual {
    start: Instant,
    elapsed: Mutex<Duration>,
}

impl Manual {
    /// Returns a clock that stands at the current instant and, for wall time, at the Unix epoch.
    pub fn new() -> Manual {
        Manual {
            start: Instant::now(),
            elapsed: Mutex::new(Duration::ZERO),
        }
    }

    /// Moves the clock forward.
    pub fn advance(&self, step: Duration) {
        *self.elapsed.lock().unwrap_or_else(PoisonError::into_inner) += step;
    }

    fn elapsed(&self) -> Duration {
        *self.elapsed.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Default for Manual {
    fn default() -> Manual {
        Manual::new()
    }
}

impl Clock for Manual {
    fn now(&self) -> Instant {
        self.start + self.elapsed()
    }

    fn wall(&self) -> SystemTime {
        SystemTime::UNIX_EPOCH + self.elapsed()
    }
}

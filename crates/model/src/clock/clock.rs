use std::time::{Instant, SystemTime};

/// A source of time.
pub trait Clock: Send + Sync {
    /// Monotonic time, for timeouts and leases.
    fn now(&self) -> Instant;

    /// Wall time, for records that people read.
    fn wall(&self) -> SystemTime;

    /// Wall time in milliseconds since the Unix epoch.
    fn wall_ms(&self) -> u64 {
        self.wall()
            .duration_since(SystemTime::UNIX_EPOCH)
            .map_or(0, |elapsed| elapsed.as_millis() as u64)
    }
}

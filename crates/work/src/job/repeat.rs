use serde::{Deserialize, Serialize};

/// Schedule of a job that runs several times.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Repeat {
    /// Number of occurrences; 0 counts as 1.
    pub count: u32,
    /// Due time of the first occurrence, in milliseconds since the Unix epoch.
    pub first_ms: u64,
    /// Interval between two occurrences in milliseconds.
    pub interval_ms: u64,
}

impl Repeat {
    /// Due time of an occurrence, in milliseconds since the Unix epoch.
    pub fn due_ms(&self, occurrence: u32) -> u64 {
        self.first_ms
            .saturating_add(self.interval_ms.saturating_mul(u64::from(occurrence)))
    }
}

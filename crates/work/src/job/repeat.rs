use serde::{Deserialize, Serialize};

/// Times at which the steps of a job run.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Repeat {
    /// Number of occurrences.
    pub count: u32,
    /// When the first is due, in milliseconds since the Unix epoch.
    pub first_ms: u64,
    /// Time between two occurrences in milliseconds.
    pub interval_ms: u64,
}

impl Repeat {
    /// When an occurrence is due, in milliseconds since the Unix epoch.
    pub fn due_ms(&self, occurrence: u32) -> u64 {
        self.first_ms
            .saturating_add(self.interval_ms.saturating_mul(u64::from(occurrence)))
    }
}

use {
    super::Reason,
    std::time::{Duration, Instant},
};

/// Shortest time between two lines about one reason.
const INTERVAL: Duration = Duration::from_secs(1);

/// Bounds the lines about limited clients to one a second for each reason.
#[derive(Debug, Default)]
pub struct Throttle {
    entries: [Entry; Reason::ALL.len()],
}

#[derive(Clone, Copy, Debug, Default)]
struct Entry {
    last: Option<Instant>,
    count: u64,
}

impl Throttle {
    /// Counts a case. Returns the number of cases since the last line if a line is due.
    pub fn note(&mut self, reason: Reason, now: Instant) -> Option<u64> {
        let entry = &mut self.entries[reason as usize];
        entry.count += 1;
        let is_due = entry
            .last
            .is_none_or(|last| now.saturating_duration_since(last) >= INTERVAL);
        is_due.then(|| {
            entry.last = Some(now);
            std::mem::take(&mut entry.count)
        })
    }
}

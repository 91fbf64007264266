use {
    indexmap::IndexMap,
    std::time::{Duration, Instant},
};

/// Age of a sample beyond which it does not count.
const MAX_AGE: Duration = Duration::from_secs(10);

/// The median of the instances' times of day. A clock that jumps on a minority of them changes nothing.
#[derive(Clone, Debug)]
pub struct MedianClock {
    start: Instant,
    /// Time of day at `start` by each instance's clock in milliseconds, and when that was learned.
    samples: IndexMap<u64, (i128, Instant)>,
}

impl MedianClock {
    /// No sample yet. `start` is any time not later than the first sample.
    pub fn new(start: Instant) -> MedianClock {
        MedianClock {
            start,
            samples: IndexMap::new(),
        }
    }

    /// Takes the time of day of an instance.
    pub fn observe(&mut self, instance: u64, wall_ms: u64, now: Instant) {
        let elapsed = now.saturating_duration_since(self.start).as_millis() as i128;
        let sample = (i128::from(wall_ms) - elapsed, now);
        self.samples.insert(instance, sample);
    }

    /// The agreed time of day in milliseconds since the Unix epoch; 0 without samples.
    pub fn now_ms(&self, now: Instant) -> u64 {
        let mut offsets: Vec<i128> = self
            .samples
            .values()
            .filter(|(_, at)| now.saturating_duration_since(*at) < MAX_AGE)
            .map(|(offset, _)| *offset)
            .collect();
        offsets.sort_unstable();
        // Of an even number the earlier middle one counts: an early start breaks a promise, a late one does not.
        let Some(median) = offsets.get(offsets.len().saturating_sub(1) / 2) else {
            return 0;
        };
        let elapsed = now.saturating_duration_since(self.start).as_millis() as i128;
        u64::try_from(median + elapsed).unwrap_or(0)
    }
}

use {
    indexmap::IndexMap,
    std::time::{Duration, Instant},
};

/// Age from which a sample is ignored.
const MAX_SAMPLE_AGE: Duration = Duration::from_secs(10);

/// The median of the instances' times of day. Clocks that jump on a minority of the instances do not affect it.
#[derive(Clone, Debug)]
pub struct MedianClock {
    start: Instant,
    /// For each instance, the time of day of its clock at `start` in milliseconds since the Unix epoch, and when the
    /// sample was taken.
    samples: IndexMap<u64, (i128, Instant)>,
}

impl MedianClock {
    /// Creates a clock without samples. `start` is any time not later than the first sample.
    pub fn new(start: Instant) -> MedianClock {
        MedianClock {
            start,
            samples: IndexMap::new(),
        }
    }

    /// Records the time of day of an instance, in milliseconds since the Unix epoch, replacing its previous sample.
    pub fn observe(&mut self, instance: u64, wall_ms: u64, now: Instant) {
        let elapsed = now.saturating_duration_since(self.start).as_millis() as i128;
        let sample = (i128::from(wall_ms) - elapsed, now);
        self.samples.insert(instance, sample);
    }

    /// The median time of day in milliseconds since the Unix epoch; 0 without recent samples.
    pub fn now_ms(&self, now: Instant) -> u64 {
        let mut offsets: Vec<i128> = self
            .samples
            .values()
            .filter(|(_, at)| now.saturating_duration_since(*at) < MAX_SAMPLE_AGE)
            .map(|(offset, _)| *offset)
            .collect();
        offsets.sort_unstable();
        // For an even number of samples the earlier of the two middle ones is used: a task may start late, but not
        // before it is due.
        let Some(median) = offsets.get(offsets.len().saturating_sub(1) / 2) else {
            return 0;
        };
        let elapsed = now.saturating_duration_since(self.start).as_millis() as i128;
        u64::try_from(median + elapsed).unwrap_or(0)
    }
}

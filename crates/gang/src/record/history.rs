use std::collections::VecDeque;

/// Run times kept for each account and class.
const MAX_SAMPLES: usize = 128;

/// Recent run times of one account and class, in seconds.
#[derive(Clone, Debug, Default)]
pub struct History {
    recent: VecDeque<f32>,
    sorted: Vec<f32>,
}

impl History {
    /// Number of run times below which no estimate is made.
    pub const MIN_SAMPLES: usize = 8;

    /// Adds a run time and drops the oldest one if the history is full.
    pub fn add(&mut self, seconds: f64) {
        let seconds = seconds as f32;
        if self.recent.len() == MAX_SAMPLES
            && let Some(old) = self.recent.pop_front()
        {
            let at = self.sorted.partition_point(|other| *other < old);
            self.sorted.remove(at.min(self.sorted.len() - 1));
        }
        let at = self.sorted.partition_point(|other| *other < seconds);
        self.sorted.insert(at, seconds);
        self.recent.push_back(seconds);
    }

    /// 95th percentile in seconds; `None` with fewer than [`History::MIN_SAMPLES`] run times.
    pub fn p95(&self) -> Option<f64> {
        if self.sorted.len() < History::MIN_SAMPLES {
            return None;
        }
        Some(f64::from(self.sorted[(self.sorted.len() - 1) * 95 / 100]))
    }

    /// Expected remaining seconds of a job that has run for `elapsed` seconds: the mean over the longer
    /// run times. If there are too few run times, or none is longer, it is expected to run for as long
    /// again.
    pub fn remaining(&self, elapsed: f64) -> f64 {
        let at = self
            .sorted
            .partition_point(|other| f64::from(*other) <= elapsed);
        let longer = &self.sorted[at..];
        if self.sorted.len() < History::MIN_SAMPLES || longer.is_empty() {
            return elapsed.max(1.0);
        }
        longer
            .iter()
            .map(|other| f64::from(*other) - elapsed)
            .sum::<f64>()
            / longer.len() as f64
    }
}

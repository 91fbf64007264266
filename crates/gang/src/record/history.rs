use std::collections::VecDeque;

/// Run times kept per account and class.
const KEPT: usize = 128;

/// Observed run times of one account and class, in seconds.
#[derive(Clone, Debug, Default)]
pub struct History {
    recent: VecDeque<f32>,
    sorted: Vec<f32>,
}

impl History {
    /// Fewest run times from which anything is concluded.
    pub const LEAST: usize = 8;

    /// Adds a run time.
    pub fn add(&mut self, seconds: f64) {
        let seconds = seconds as f32;
        if self.recent.len() == KEPT
            && let Some(old) = self.recent.pop_front()
        {
            let at = self.sorted.partition_point(|other| *other < old);
            self.sorted.remove(at.min(self.sorted.len() - 1));
        }
        let at = self.sorted.partition_point(|other| *other < seconds);
        self.sorted.insert(at, seconds);
        self.recent.push_back(seconds);
    }

    /// 95th percentile, once enough is known.
    pub fn p95(&self) -> Option<f64> {
        if self.sorted.len() < History::LEAST {
            return None;
        }
        Some(f64::from(self.sorted[(self.sorted.len() - 1) * 95 / 100]))
    }

    /// Expected remaining seconds of a job that has run for `elapsed`, from the run times that were
    /// longer. A job that outlived all of them is expected to run as long again.
    pub fn remaining(&self, elapsed: f64) -> f64 {
        let at = self
            .sorted
            .partition_point(|other| f64::from(*other) <= elapsed);
        let longer = &self.sorted[at..];
        if self.sorted.len() < History::LEAST || longer.is_empty() {
            return elapsed.max(1.0);
        }
        longer
            .iter()
            .map(|other| f64::from(*other) - elapsed)
            .sum::<f64>()
            / longer.len() as f64
    }
}

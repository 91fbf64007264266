use work::id;

/// Progress of a run between two reports of its upstream.
#[derive(Clone, Copy, Debug)]
pub struct Sample {
    /// Task of the run.
    pub task: id::Task,
    /// Number of the run.
    pub run: u32,
    /// Expected duration of the whole task on an upstream of nominal speed, in milliseconds; 0 if there is no estimate.
    pub expected_ms: f64,
    /// Duration of the whole task at the rate of this interval, in milliseconds.
    pub duration_ms: f64,
    /// Relative standard error of that duration.
    pub error: f64,
    /// The same duration at the rate of the previous interval of the run, if there is one.
    pub previous_ms: Option<f64>,
    /// Number of intervals of the run, including this one.
    pub number: u32,
}

impl Sample {
    /// Logarithm of the rate of the run compared with its previous interval.
    pub(super) fn change(&self) -> Option<f64> {
        let previous_ms = self.previous_ms?;
        Some((previous_ms.max(1.0) / self.duration_ms.max(1.0)).ln())
    }
}

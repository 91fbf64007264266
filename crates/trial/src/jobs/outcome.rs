use super::load::{Kind, Work};

/// When one job ran.
#[derive(Clone, Copy, Debug, Default)]
pub struct Times {
    /// First start.
    pub start_ms: Option<u64>,
    /// End.
    pub end_ms: Option<u64>,
    /// Whether the gang could claim an unused guarantee when it arrived.
    pub guaranteed: bool,
}

/// What happened in one run.
#[derive(Clone, Debug, Default)]
pub struct Outcome {
    /// By job, in the order of arrival.
    pub times: Vec<Times>,
    /// Time in which the largest queued gang fitted the free total but no place.
    pub fragmented_ms: u64,
    /// The same, for the largest queued gang that the quota of its account allows.
    pub fragmented_in_quota_ms: u64,
    /// Time until the last arrival.
    pub span_ms: u64,
    /// Broken rules, in words.
    pub broken: Vec<String>,
    /// Gangs that were stopped to run again later.
    pub reclaims: u64,
    /// Accelerator time in use over the time until the last arrival.
    pub used: f64,
}

impl Outcome {
    /// Waits until the first start of the jobs of one kind, in seconds.
    pub fn waits(&self, works: &[Work], kind: Kind) -> Vec<f64> {
        let jobs = works
            .iter()
            .zip(&self.times)
            .filter(|(work, _)| work.kind == kind);
        jobs.filter_map(|(work, times)| Some((times.start_ms? - work.at_ms) as f64 / 1000.0))
            .collect()
    }

    /// Times from a claim on an unused guarantee to the start of its gang, in seconds.
    pub fn claims(&self, works: &[Work]) -> Vec<f64> {
        let jobs = works
            .iter()
            .zip(&self.times)
            .filter(|(_, times)| times.guaranteed);
        jobs.filter_map(|(work, times)| Some((times.start_ms? - work.at_ms) as f64 / 1000.0))
            .collect()
    }

    /// Mean time from arrival to end of the jobs that `choose` accepts, in seconds.
    pub fn completion(&self, works: &[Work], choose: impl Fn(&Work) -> bool) -> f64 {
        let jobs = works
            .iter()
            .zip(&self.times)
            .filter(|(work, _)| choose(work));
        let times: Vec<_> = jobs
            .filter_map(|(work, times)| Some((times.end_ms? - work.at_ms) as f64 / 1000.0))
            .collect();
        times.iter().sum::<f64>() / times.len().max(1) as f64
    }
}

/// The value below which `share` of the values lie.
pub fn quantile(values: &mut [f64], share: f64) -> f64 {
    values.sort_by(f64::total_cmp);
    match values.len() {
        0 => 0.0,
        len => values[((len as f64 * share).ceil() as usize).clamp(1, len) - 1],
    }
}

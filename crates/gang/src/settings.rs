use std::time::Duration;

/// Rules of the scheduler that are not part of the configuration.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// Regions whose jobs this group holds; empty means all. Guarantees elsewhere are not proved here.
    pub regions: Vec<String>,
    /// A sweep that waited this long is served as standard work.
    pub sweep_promotion_age: Duration,
    /// A gang that waited this long while others started gets a reservation.
    pub reserve_after: Duration,
    /// Gangs that may hold a reservation at once.
    pub max_reservations: usize,
    /// Least time between two compactions.
    pub compaction_interval: Duration,
    /// First wait before a failed job is tried again; doubles with each attempt.
    pub backoff_min: Duration,
    /// Longest wait before a failed job is tried again.
    pub backoff_max: Duration,
    /// Different jobs that a worker must fail in a row to be quarantined.
    pub quarantine_failed_jobs: usize,
    /// Time before a quarantined worker is probed.
    pub probe_interval: Duration,
    /// Different workers on which a job must fail to be given up.
    pub max_failed_workers: usize,
    /// A job is a straggler when it runs this many times longer than the 95th percentile of its history.
    pub straggler_factor: f64,
    /// Most placements tried in one call of `decide`; the rest follows in the next call.
    pub max_attempted_placements: usize,
}

impl Default for Settings {
    fn default() -> Settings {
        Settings {
            regions: Vec::new(),
            sweep_promotion_age: Duration::from_secs(6 * 3600),
            reserve_after: Duration::from_secs(60),
            max_reservations: 2,
            compaction_interval: Duration::from_secs(60),
            backoff_min: Duration::from_secs(1),
            backoff_max: Duration::from_secs(300),
            quarantine_failed_jobs: 3,
            probe_interval: Duration::from_secs(60),
            max_failed_workers: 3,
            straggler_factor: 4.0,
            max_attempted_placements: 64,
        }
    }
}

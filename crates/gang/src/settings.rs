use std::time::Duration;

/// Rules of the scheduler that are not part of the configuration.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// Regions whose jobs this group holds; empty means all. Guarantees elsewhere are not proved here.
    pub regions: Vec<String>,
    /// A sweep that waited this long is served as standard work.
    pub sweep_age: Duration,
    /// A gang that waited this long while others started gets a reservation.
    pub reserve_after: Duration,
    /// Gangs that may hold a reservation at once.
    pub reservations: usize,
    /// Least time between two compactions.
    pub compact_every: Duration,
    /// First wait before a failed job is tried again; doubles with each attempt.
    pub backoff_first: Duration,
    /// Longest wait before a failed job is tried again.
    pub backoff_limit: Duration,
    /// Different jobs that a worker must fail in a row to be quarantined.
    pub quarantine_jobs: usize,
    /// Time before a quarantined worker is probed.
    pub probe_after: Duration,
    /// Different workers on which a job must fail to be given up.
    pub fail_workers: usize,
    /// A job is a straggler when it runs this many times longer than the 95th percentile of its history.
    pub straggler_factor: f64,
    /// Most placements tried in one call of `decide`; the rest follows in the next call.
    pub tries: usize,
}

impl Default for Settings {
    fn default() -> Settings {
        Settings {
            regions: Vec::new(),
            sweep_age: Duration::from_secs(6 * 3600),
            reserve_after: Duration::from_secs(60),
            reservations: 2,
            compact_every: Duration::from_secs(60),
            backoff_first: Duration::from_secs(1),
            backoff_limit: Duration::from_secs(300),
            quarantine_jobs: 3,
            probe_after: Duration::from_secs(60),
            fail_workers: 3,
            straggler_factor: 4.0,
            tries: 64,
        }
    }
}

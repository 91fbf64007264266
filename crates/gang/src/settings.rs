use std::time::Duration;

/// Scheduler settings that are not part of the replicated configuration.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// Regions that this group schedules; empty means all. Guarantees in other regions are ignored.
    pub regions: Vec<String>,
    /// Time since submission after which a sweep is ranked as a standard job.
    pub sweep_promotion_age: Duration,
    /// Time since submission after which an urgent or standard gang that does not fit gets a
    /// reservation; sweeps get one only after `sweep_promotion_age`.
    pub reserve_after: Duration,
    /// Maximum number of reservations at a time.
    pub max_reservations: usize,
    /// Minimum time between two compactions.
    pub compaction_interval: Duration,
    /// Delay before a failed job is attempted again; doubles with each attempt.
    pub backoff_min: Duration,
    /// Upper limit of that delay.
    pub backoff_max: Duration,
    /// Number of different jobs that must fail in a row on a worker, and run elsewhere, before it is
    /// quarantined.
    pub quarantine_failed_jobs: usize,
    /// Time from quarantine, or from a failed probe, to the next probe of a worker.
    pub probe_interval: Duration,
    /// Number of different workers on which a job fails before it ends as failed.
    pub max_failed_workers: usize,
    /// A job that runs longer than this multiple of the 95th percentile of earlier run times is
    /// reported as a straggler.
    pub straggler_factor: f64,
    /// Maximum number of placements attempted in one call of `decide`; further jobs wait for the next
    /// call.
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

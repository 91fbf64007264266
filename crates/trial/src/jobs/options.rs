use {gang::Settings, std::time::Duration};

/// What to run.
#[derive(Clone, Debug)]
pub struct Options {
    /// Seeds of the arrivals; each is run with every scheduler.
    pub seeds: Vec<u64>,
    /// Time in which jobs arrive; the run goes on until all have ended.
    pub arrivals: Duration,
    /// Time that a checkpoint takes before a task is stopped.
    pub checkpoint: Duration,
    /// Sweeps that are queued at the beginning; more follow.
    pub sweeps: usize,
    /// Share of all accelerators that short, standard and guaranteed work needs on average.
    pub load: f64,
    /// Rules of the scheduler.
    pub settings: Settings,
}

impl Default for Options {
    fn default() -> Options {
        Options {
            seeds: (1..=10).collect(),
            arrivals: Duration::from_secs(4 * 3600),
            checkpoint: Duration::from_secs(5),
            sweeps: 300,
            load: 0.5,
            settings: Settings::default(),
        }
    }
}

use std::time::Duration;

/// Timing of jobs.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Regions whose workers and jobs belong to the group.
    pub regions: Vec<String>,
    /// Time after the last order at which a worker stops a task by itself.
    pub lease: Duration,
    /// Time within which all workers must have reserved.
    pub reserve_limit: Duration,
    /// Time within which all tasks must run after the order to start.
    pub start_limit: Duration,
    /// Interval of orders to running tasks.
    pub renew_every: Duration,
    /// Interval of the controller's loop.
    pub tick: Duration,
    /// After a change of leader, nothing is placed or promised for this time, until the workers have
    /// announced themselves to the new leader.
    pub settle: Duration,
    /// A worker gets no new gang after this time without an announcement.
    pub silent_after: Duration,
}

impl Default for Settings {
    fn default() -> Settings {
        Settings {
            regions: Vec::new(),
            lease: Duration::from_secs(15),
            reserve_limit: Duration::from_millis(400),
            start_limit: Duration::from_secs(5),
            renew_every: Duration::from_secs(3),
            tick: Duration::from_millis(25),
            settle: Duration::from_millis(1500),
            silent_after: Duration::from_secs(3),
        }
    }
}

impl Settings {
    /// Time after the last order sent at which the lease has ended on any worker: 5% for clocks that run
    /// slower and 1 s for delivery.
    pub fn lease_over(&self) -> Duration {
        self.lease + self.lease / 20 + Duration::from_secs(1)
    }
}

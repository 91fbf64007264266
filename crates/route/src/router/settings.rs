use {
    crate::{queue::Limits, retry::Budget},
    model::place::Site,
    std::time::Duration,
};

/// Settings of a [`super::Router`].
#[derive(Clone, Debug)]
pub struct Settings {
    /// This instance's id.
    pub instance: u64,
    /// Differs for each start of the process.
    pub boot: u64,
    /// Where the instance is.
    pub site: Site,
    /// Longest accepted deadline.
    pub max_deadline: Duration,
    /// Bounds of the queues.
    pub queues: Limits,
    /// Quantile of the service time that must fit between the predicted wait and the deadline.
    pub admission_quantile: f64,
    /// Quantile of the service time that must still fit when a request leaves the queue.
    pub late_quantile: f64,
    /// Keeps as many slots from batch as short work needed lately.
    pub adaptive_reserve: bool,
    /// Bounds the wait of short requests when their queue stands.
    pub bound_standing_queue: bool,
    /// Refuses requests whose predicted answer would miss the deadline.
    pub shed_load: bool,
    /// Quantile of the service time after which an idempotent short request is hedged.
    pub hedge_quantile: f64,
    /// Resends as a fraction of the requests.
    pub retry_fraction: f64,
    /// Hedges as a fraction of the requests.
    pub hedge_fraction: f64,
}

impl Settings {
    /// Returns the defaults for an instance.
    pub fn new(instance: u64, boot: u64, site: Site) -> Settings {
        Settings {
            instance,
            boot,
            site,
            max_deadline: Duration::from_secs(60),
            queues: Limits::default(),
            admission_quantile: 0.5,
            late_quantile: 0.5,
            adaptive_reserve: true,
            bound_standing_queue: true,
            shed_load: true,
            hedge_quantile: 0.99,
            retry_fraction: 0.1,
            hedge_fraction: 0.02,
        }
    }

    pub(super) fn retry_budget(&self) -> Budget {
        Budget::new(self.retry_fraction, 10.0)
    }

    pub(super) fn hedge_budget(&self) -> Budget {
        Budget::new(self.hedge_fraction, 4.0)
    }
}

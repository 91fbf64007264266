use {
    crate::{queue::Limits, retry::Budget},
    model::place::Site,
    std::time::Duration,
};

/// Most retries that can follow each other without new requests.
const RETRY_BURST: f64 = 10.0;

/// Most hedges that can follow each other without new requests.
const HEDGE_BURST: f64 = 4.0;

/// Settings of a [`super::Router`].
#[derive(Clone, Debug)]
pub struct Settings {
    /// This instance's id.
    pub instance: u64,
    /// Differs for each start of the process.
    pub boot: u64,
    /// Region and data centre of the instance.
    pub site: Site,
    /// Longest accepted time to the deadline of a request.
    pub max_deadline: Duration,
    /// Bounds of the queues, and how classes share the slots.
    pub queues: Limits,
    /// A request is refused on arrival if this quantile of the service time does not fit between its
    /// predicted wait and its deadline.
    pub admission_quantile: f64,
    /// A waiting request is refused when this quantile of the service time no longer fits before its deadline.
    pub late_quantile: f64,
    /// Reserves as many slots for short requests as they needed lately.
    pub adaptive_reserve: bool,
    /// Bounds the wait of short requests while they have a standing queue.
    pub bound_standing_queue: bool,
    /// Refuses requests whose answer is predicted to miss the deadline, on arrival and while they wait.
    pub shed_load: bool,
    /// An idempotent short request is hedged when it has run for longer than this quantile of the service time.
    pub hedge_quantile: f64,
    /// Most retries, as a fraction of the requests.
    pub retry_fraction: f64,
    /// Most hedges, as a fraction of the requests; 0 turns hedging off.
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
        Budget::new(self.retry_fraction, RETRY_BURST)
    }

    pub(super) fn hedge_budget(&self) -> Budget {
        Budget::new(self.hedge_fraction, HEDGE_BURST)
    }
}

use {
    super::{Departures, Members, Processor},
    crate::{Faults, Load, Trouble},
    plan::engine::Settings,
    work::config::{Account, Advice, Config, Queue, Service},
};

/// What a world is made of.
#[derive(Clone, Debug)]
pub struct Setup {
    /// Number of upstreams.
    pub upstreams: usize,
    /// Upstreams of a rack.
    pub rack: usize,
    /// Processors of an upstream, in thousandths of a core.
    pub cpu_milli: i64,
    /// Memory of an upstream in megabytes.
    pub memory_mb: i64,
    /// Number of accounts.
    pub accounts: usize,
    /// Accelerators guaranteed to each account.
    pub guaranteed: i64,
    /// Shares of orders that go wrong.
    pub faults: Faults,
    /// Events of the day by time in milliseconds.
    pub troubles: Vec<(u64, Trouble)>,
    /// Seed of delays and faults.
    pub seed: u64,
    /// Time in milliseconds for which decisions of the policy service are valid; none if work needs no such decision.
    pub advice_valid_ms: Option<u64>,
    /// Processor time of the leader; none by default.
    pub processor: Processor,
    /// Speeds of the upstreams, in turn, of which the slowest decides when a gang ends; if there are none, work takes 1.3
    /// times as long in the third data centre.
    pub speeds: Vec<f64>,
    /// Whether a new leader begins with the speeds that the one before it had told the followers.
    pub keeps_speeds: bool,
    /// Instances of which one leads, with a memory of the open starts each; without them the next leader knows what the one
    /// before it has told last.
    pub members: Option<Members>,
    /// When an upstream that has deregistered is removed from the registry.
    pub departures: Departures,
    /// Bounds of the engine.
    pub settings: Settings,
}

impl Default for Setup {
    fn default() -> Setup {
        Setup {
            upstreams: 48,
            rack: 8,
            cpu_milli: 32_000,
            memory_mb: 65_536,
            accounts: 4,
            guaranteed: 59,
            faults: Faults::default(),
            troubles: Vec::new(),
            seed: 1,
            advice_valid_ms: None,
            processor: Processor::default(),
            speeds: Vec::new(),
            keeps_speeds: true,
            members: None,
            departures: Departures::default(),
            settings: Settings::default(),
        }
    }
}

/// The configuration of a load.
pub(super) fn config(load: &Load, setup: &Setup) -> Config {
    let queues = load.kinds.iter().enumerate().map(|(number, kind)| Queue {
        name: kind.queue.to_owned(),
        host: "host".into(),
        prefix: format!("/{}/", kind.queue),
        service: "pool".into(),
        timeout_ms: 3000,
        objective_ms: kind.objective.1,
        stretch: kind.objective.0,
        priority: number as u8,
        attempts: 4,
        public: false,
        advice: setup.advice_valid_ms.map(|valid_ms| Advice {
            valid_ms,
            ..Advice::default()
        }),
    });
    let accounts = (0..setup.accounts).map(|number| Account {
        name: format!("account-{number}"),
        keys: vec![format!("key-{number}")],
        guaranteed: setup.guaranteed,
    });
    Config {
        version: 1,
        queues: queues.collect(),
        services: vec![Service {
            name: "pool".into(),
            ..Service::default()
        }],
        accounts: accounts.collect(),
        ..Config::default()
    }
}

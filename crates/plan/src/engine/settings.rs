use {crate::order::Policy, std::time::Duration};

/// Bounds that the deployment states. The engine derives its timeouts from them.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Longest lease that an upstream grants.
    pub lease: Duration,
    /// Longest time that an upstream takes to stop a run.
    pub stop: Duration,
    /// Time for which a member of a gang waits for the others.
    pub gang: Duration,
    /// Interval of the upstreams' heartbeats.
    pub heartbeat: Duration,
    /// How much earlier than due an occurrence may start.
    pub early: Duration,
    /// Time in which guaranteed accelerators must be handed over.
    pub reclaim: Duration,
    /// How many times as long a task takes far from its data or its gang.
    pub far_factor: f64,
    /// Time for which ended jobs are shown.
    pub keep: Duration,
    /// Time for which a response to a hold may be delayed by the upstream.
    pub hold_wait: Duration,
    /// How ready work is ordered.
    pub policy: Policy,
}

impl Default for Settings {
    fn default() -> Settings {
        Settings {
            lease: Duration::from_millis(6000),
            stop: Duration::from_millis(400),
            gang: Duration::from_millis(3000),
            heartbeat: Duration::from_millis(1500),
            early: Duration::from_millis(250),
            reclaim: Duration::from_millis(2900),
            far_factor: 3.0,
            keep: Duration::from_secs(120),
            hold_wait: Duration::from_millis(2000),
            policy: Policy::default(),
        }
    }
}

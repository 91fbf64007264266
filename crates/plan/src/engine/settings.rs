use {crate::order::Strategy, std::time::Duration};

/// Bounds that the deployment states. The engine derives its timeouts from them.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Longest lease that an upstream grants.
    pub max_lease: Duration,
    /// Longest time that an upstream takes to stop a run.
    pub stop_timeout: Duration,
    /// Time for which a member of a gang waits for the others.
    pub gang_timeout: Duration,
    /// Interval of the upstreams' heartbeats.
    pub heartbeat_interval: Duration,
    /// How much earlier than due an occurrence may start.
    pub early_start: Duration,
    /// Time in which guaranteed accelerators must be handed over.
    pub reclaim_time: Duration,
    /// How many times as long a task takes far from its data or its gang.
    pub far_factor: f64,
    /// Time for which ended jobs are shown.
    pub job_retention: Duration,
    /// Time for which a response to a hold may be delayed by the upstream.
    pub hold_wait: Duration,
    /// How ready work is ordered.
    pub strategy: Strategy,
}

impl Default for Settings {
    fn default() -> Settings {
        Settings {
            max_lease: Duration::from_millis(6000),
            stop_timeout: Duration::from_millis(400),
            gang_timeout: Duration::from_millis(3000),
            heartbeat_interval: Duration::from_millis(1500),
            early_start: Duration::from_millis(250),
            reclaim_time: Duration::from_millis(2900),
            far_factor: 3.0,
            job_retention: Duration::from_secs(120),
            hold_wait: Duration::from_millis(2000),
            strategy: Strategy::default(),
        }
    }
}

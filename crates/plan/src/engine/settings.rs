use {crate::order::Strategy, std::time::Duration};

/// Limits and intervals of the deployment, from which the engine derives its timeouts.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Duration of the leases that the leader grants. An upstream shortens a longer lease to this.
    pub max_lease: Duration,
    /// Maximum time that an upstream takes to stop a run.
    pub stop_timeout: Duration,
    /// Time for which a member of a gang waits for the others to start.
    pub gang_timeout: Duration,
    /// Interval between two heartbeats of an upstream.
    pub heartbeat_interval: Duration,
    /// How long before its due time an occurrence may start.
    pub early_start: Duration,
    /// Time within which a client account must get its guaranteed accelerators.
    pub reclaim_time: Duration,
    /// Slowdown factor of a task that runs away from its data or its gang.
    pub far_factor: f64,
    /// Time for which an ended job is retained.
    pub job_retention: Duration,
    /// Time for which an operator may send an order again after its first send.
    pub order_resend: Duration,
    /// Maximum time for which an upstream may delay its answer to a hold.
    pub hold_wait: Duration,
    /// Whether accelerators are kept free for urgent work that is about to arrive; off only for measurements.
    pub keeps_headroom: bool,
    /// Whether work is placed by the learned speeds of upstreams; off only for measurements.
    pub uses_speeds: bool,
    /// Order in which ready work is considered.
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
            order_resend: Duration::from_secs(5),
            hold_wait: Duration::from_millis(2000),
            keeps_headroom: true,
            uses_speeds: true,
            strategy: Strategy::default(),
        }
    }
}

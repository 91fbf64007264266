use std::time::Duration;

/// Timeouts and leases. They must be equal on all instances of a deployment.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Timing {
    /// Interval of the heartbeats of a group's leader.
    pub heartbeat: Duration,
    /// Shortest election timeout of a group; see [`Timing::election_timeout_max`].
    pub election_timeout: Duration,
    /// How long an instance may use its configuration without an answer of the config leader.
    pub configuration_lease: Duration,
    /// How long a worker runs a task without an order.
    pub worker_lease: Duration,
    /// How long an instance may use a share of an upstream's slots.
    pub share_lease: Duration,
}

impl Timing {
    /// Longest election timeout, twice the shortest.
    pub fn election_timeout_max(&self) -> Duration {
        self.election_timeout * 2
    }
}

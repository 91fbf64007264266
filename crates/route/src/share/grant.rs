use serde::{Deserialize, Serialize};

/// All shares of one process in one region, leased to it in answer to a report. It has no share of an upstream
/// that is not listed.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Grant {
    /// Name of the region that the upstreams are in.
    pub region: String,
    /// Id of the instance that may use the shares.
    pub instance: u64,
    /// Boot number of the process that may use the shares.
    pub boot: u64,
    /// Term of the leader that runs the granter.
    pub term: u64,
    /// Sequence number of the grants of this term to this process.
    pub sequence: u64,
    /// Number of the report that this answers.
    pub report: u64,
    /// Duration of the lease in milliseconds, from the time at which that report was sent.
    pub lease_ms: u64,
    /// The shares, each of at least one slot.
    pub shares: Vec<Share>,
}

/// Slots of one upstream that a process may use.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Share {
    /// Name of the upstream.
    pub upstream: String,
    /// Requests that the process may run there at once; at least 1.
    pub slots: u16,
}

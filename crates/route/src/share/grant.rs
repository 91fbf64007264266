use serde::{Deserialize, Serialize};

/// The complete shares of one instance in one region; upstreams that are not listed have none.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Grant {
    /// The region whose upstreams are meant.
    pub region: String,
    /// The instance that may use the shares.
    pub instance: u64,
    /// The process that may use the shares.
    pub boot: u64,
    /// The leader's term.
    pub term: u64,
    /// Counts the grants of this term to this instance.
    pub sequence: u64,
    /// Number of the report that this answers.
    pub report: u64,
    /// Lease in milliseconds, counted from the sending of that report.
    pub lease_ms: u64,
    /// Shares above zero.
    pub shares: Vec<Share>,
}

/// Slots of one upstream.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Share {
    /// The upstream.
    pub upstream: String,
    /// Requests that the instance may run there at once.
    pub slots: u16,
}

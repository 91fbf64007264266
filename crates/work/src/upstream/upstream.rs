use {
    crate::{id, job::Resources},
    serde::{Deserialize, Serialize},
};

/// One incarnation of an upstream: the time from one start of its process to the next.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Upstream {
    /// Id, which a later incarnation may use again.
    pub id: id::Upstream,
    /// Start time of this incarnation, in milliseconds since the Unix epoch by the upstream's clock. Identifies the
    /// incarnation.
    pub born_ms: u64,
    /// Network address that takes the leader's orders.
    pub address: String,
    /// Data centre that it runs in.
    pub data_centre: String,
    /// Name of the service that it belongs to.
    pub service: String,
    /// Its total resources.
    pub capacity: Resources,
    /// Labels that steps can require; one of them names the rack.
    pub labels: Vec<String>,
    /// Name of its rack.
    pub rack: String,
    /// Whether it is about to leave and takes no new work.
    pub draining: bool,
    /// Announced minimum time in milliseconds from the start of the drain until it leaves; none if it was not
    /// announced.
    pub leaving_ms: Option<u64>,
}

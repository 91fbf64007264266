use {
    crate::{id, job::Resources},
    serde::{Deserialize, Serialize},
};

/// One life of an upstream.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Upstream {
    /// Its id, which a later life may use again.
    pub id: id::Upstream,
    /// When this life began, in milliseconds since the Unix epoch by its own clock.
    pub born_ms: u64,
    /// Where it takes orders.
    pub address: String,
    /// Data centre.
    pub data_centre: String,
    /// Service that it belongs to.
    pub service: String,
    /// Its whole room.
    pub capacity: Resources,
    /// Its labels; one of them is its rack.
    pub labels: Vec<String>,
    /// Its rack.
    pub rack: String,
    /// Whether it takes no new work because it is about to leave.
    pub draining: bool,
    /// Least time for which it still serves, in milliseconds, as told when it began to drain.
    pub leaving_ms: Option<u64>,
}

use serde::{Deserialize, Serialize};

/// A pool of upstreams that run the tasks of queues.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Service {
    /// Name that queues and upstreams refer to.
    pub name: String,
    /// Whether its upstreams check their own resources and refuse a start that does not fit. Otherwise they start
    /// every task they are sent.
    pub guards: bool,
    /// Whether its machines are powered off.
    pub spare: bool,
}

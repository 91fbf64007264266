use std::time::Duration;

/// Bounds on the callers of the API.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Api {
    /// Connections at once.
    pub max_connections: usize,
    /// A caller that sends or takes no byte for this long, while one is due, is disconnected.
    pub caller_stall: Duration,
    /// Memory in bytes for bodies, and the same for answers that are not taken.
    pub body_memory: usize,
}

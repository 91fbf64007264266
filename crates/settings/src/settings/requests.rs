use std::time::Duration;

/// Bounds on the request path.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Requests {
    /// Longest accepted deadline.
    pub max_deadline: Duration,
    /// Largest accepted body in bytes.
    pub max_body: u64,
    /// Time between the end of readiness and the end of the listener at a shutdown.
    pub drain_settle: Duration,
    /// Time that requests in flight have at a shutdown; by default `max_deadline` plus 1 s.
    pub drain_bound: Duration,
    /// Callers' connections at once.
    pub max_connections: usize,
    /// A caller that sends or takes no byte for this long, while one is due, is disconnected.
    pub caller_stall: Duration,
    /// Memory in bytes for bodies that may be sent a second time.
    pub body_memory: usize,
}

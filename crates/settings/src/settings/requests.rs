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
}

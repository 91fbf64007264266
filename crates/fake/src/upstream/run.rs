use std::time::Instant;

/// A request as a recording stand-in saw it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Run {
    /// Value of the request's header `x-fake-id`; empty without one.
    pub id: String,
    /// When the whole request had arrived.
    pub began: Instant,
    /// When the work ended, with or without an answer; none while it is in progress.
    pub ended: Option<Instant>,
}

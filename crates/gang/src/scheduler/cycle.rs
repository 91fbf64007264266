use {
    crate::{Decision, fleet::Capacity, reclaim::Holders},
    std::time::Instant,
};

/// Work in progress of one call of `decide`.
pub(crate) struct Cycle {
    /// The time of the call.
    pub now: Instant,
    /// Free room on workers in service, without kept places and what was proposed in this call.
    pub available: Capacity,
    /// Data centres without new borrowing, because a guarantee there is owed.
    pub closed: Vec<bool>,
    /// First jobs of their queues that did not fit.
    pub blocked: Vec<u64>,
    /// Placements that may still be tried in this call.
    pub tries_left: usize,
    /// Running sweeps that may be stopped for work of a rank, once they were collected.
    pub sweeps: Option<(u8, Holders)>,
    /// Proposals so far.
    pub decisions: Vec<Decision>,
}

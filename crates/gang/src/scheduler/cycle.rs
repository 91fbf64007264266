use {
    crate::{Decision, fleet::Capacity, reclaim::Holders},
    std::time::Instant,
};

/// State of one scheduling cycle, that is, one call of `decide`.
pub(crate) struct Cycle {
    /// Time of the call.
    pub now: Instant,
    /// Free capacity on workers in service, minus the placements proposed in this cycle and all
    /// bookings except reservations.
    pub available: Capacity,
    /// For each data centre, whether it is closed to borrowing because a guarantee there cannot be met.
    pub closed: Vec<bool>,
    /// Jobs at the head of their queue that did not fit.
    pub blocked: Vec<u64>,
    /// Number of placements that may still be attempted in this cycle.
    pub tries_left: usize,
    /// Sweeps that may be preempted for jobs of the given rank; `None` until they are needed.
    pub sweeps: Option<(u8, Holders)>,
    /// Proposals made so far.
    pub decisions: Vec<Decision>,
}

use {
    std::{sync::Arc, time::Duration},
    work::{id, job::Definition, registry},
};

/// Greatest [`Target::token_offset`]. The fencing tokens of two leaders differ by more than this.
pub const MAX_TOKEN_OFFSET: u64 = (1 << 32) - 1;

/// Output of [`Engine::step`](super::Engine::step).
#[derive(Clone, Debug)]
pub enum Effect {
    /// Commit updates, then report [`Event::ProposalCommitted`](super::Event::ProposalCommitted) or
    /// [`Event::ProposalFailed`](super::Event::ProposalFailed).
    Propose {
        /// Number that the event repeats.
        proposal: u64,
        /// Updates in the order in which they are applied.
        updates: Vec<registry::Update>,
    },
    /// Renew the lease of an upstream and list its runs; answered by
    /// [`Event::HoldAnswered`](super::Event::HoldAnswered).
    Hold {
        /// Number that the event repeats.
        call: u64,
        /// Upstream that gets the order.
        target: Target,
        /// Contents of the order.
        order: Hold,
    },
    /// Start a run; answered by [`Event::StartAnswered`](super::Event::StartAnswered).
    Start {
        /// Number that the event repeats.
        call: u64,
        /// Upstream that gets the order.
        target: Target,
        /// Contents of the order.
        order: Start,
    },
    /// Stop a run; answered by [`Event::StopAnswered`](super::Event::StopAnswered).
    Stop {
        /// Number that the event repeats.
        call: u64,
        /// Upstream that gets the order.
        target: Target,
        /// Contents of the order.
        order: Stop,
    },
    /// Ask the policy service which upstreams may run a step; answered by
    /// [`Event::AdviceAnswered`](super::Event::AdviceAnswered).
    Advise {
        /// Number that the event repeats.
        call: u64,
        /// The step, identified by its first task.
        step: id::Task,
        /// Upstreams to ask about.
        upstreams: Vec<id::Upstream>,
    },
}

/// Recipient of an order.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Target {
    /// Id of the upstream.
    pub upstream: id::Upstream,
    /// Network address that takes orders.
    pub address: String,
    /// Amount by which the fencing token of the order is above the leader's, at most [`MAX_TOKEN_OFFSET`]. Each
    /// incarnation of an upstream gets a higher one, so that it refuses the orders to its earlier ones.
    pub token_offset: u64,
}

/// Order to renew the lease of all runs on an upstream, and to report its runs and ends.
#[derive(Clone, Debug)]
pub struct Hold {
    /// New end of the lease in milliseconds by the upstream's clock; none leaves the lease as it is.
    pub lease_until_ms: Option<u64>,
    /// Ends up to this number are recorded, so the upstream may forget them; 0 for none.
    pub last_end: u64,
    /// Time for which the upstream may delay its answer until a run ends.
    pub wait: Duration,
}

/// Order to start a run.
#[derive(Clone, Debug)]
pub struct Start {
    /// Task to run.
    pub task: id::Task,
    /// Number of the run.
    pub run: u32,
    /// Definition of the job.
    pub definition: Arc<Definition>,
    /// End of the lease in milliseconds by the upstream's clock.
    pub lease_until_ms: u64,
    /// Checkpoint to resume from; empty if there is none.
    pub checkpoint: String,
    /// Ticket of the policy service; none if the queue needs no advice.
    pub ticket: Option<String>,
}

/// Order to stop a run.
#[derive(Clone, Copy, Debug)]
pub struct Stop {
    /// Task that the run belongs to.
    pub task: id::Task,
    /// Number of the run.
    pub run: u32,
}

use {
    std::{sync::Arc, time::Duration},
    work::{id, job::Definition, registry},
};

/// Output of [`Engine::step`](super::Engine::step).
#[derive(Clone, Debug)]
pub enum Effect {
    /// Commit findings and decisions, then report [`Event::ProposalCommitted`](super::Event::ProposalCommitted) or
    /// [`Event::ProposalFailed`](super::Event::ProposalFailed).
    Propose {
        /// Number of the proposal.
        proposal: u64,
        /// In order.
        updates: Vec<registry::Update>,
    },
    /// Extend the lease of an upstream and ask what it runs.
    Hold {
        /// Number of the call.
        call: u64,
        /// Where to.
        target: Target,
        /// The order.
        order: Hold,
    },
    /// Start a task.
    Start {
        /// Number of the call.
        call: u64,
        /// Where to.
        target: Target,
        /// The order.
        order: Start,
    },
    /// Stop a run.
    Stop {
        /// Number of the call.
        call: u64,
        /// Where to.
        target: Target,
        /// The order.
        order: Stop,
    },
    /// Ask the policy service which of the upstreams may run a step.
    Advise {
        /// Number of the call.
        call: u64,
        /// The step, named by its first task.
        step: id::Task,
        /// The upstreams in question.
        upstreams: Vec<id::Upstream>,
    },
}

/// Where an order goes.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Target {
    /// The upstream.
    pub upstream: id::Upstream,
    /// Its address.
    pub address: String,
}

/// Extends the lease of all that runs on an upstream, and lists it.
#[derive(Clone, Debug)]
pub struct Hold {
    /// End of the lease by the upstream's clock in milliseconds, if that clock is known.
    pub lease_until_ms: Option<u64>,
    /// Ends up to this one may be forgotten.
    pub last_end: u64,
    /// How long the upstream waits for an end before it answers.
    pub wait: Duration,
}

/// Starts a task.
#[derive(Clone, Debug)]
pub struct Start {
    /// The task.
    pub task: id::Task,
    /// Number of the run.
    pub run: u32,
    /// The job's form, for its description.
    pub definition: Arc<Definition>,
    /// End of the lease by the upstream's clock in milliseconds.
    pub lease_until_ms: u64,
    /// Checkpoint to resume from; empty if there is none.
    pub checkpoint: String,
    /// Ticket of the policy service, where the queue has one.
    pub ticket: Option<String>,
}

/// Stops a run.
#[derive(Clone, Copy, Debug)]
pub struct Stop {
    /// The task.
    pub task: id::Task,
    /// Number of the run.
    pub run: u32,
}

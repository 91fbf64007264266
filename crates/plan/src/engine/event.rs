use {
    std::fmt,
    work::{id, upstream::End},
};

/// Input of [`Engine::step`](super::Engine::step).
#[derive(Clone, Debug)]
pub enum Event {
    /// Time has passed, or the book has changed.
    Tick,
    /// An upstream sent a heartbeat.
    HeartbeatReceived {
        /// The upstream.
        upstream: id::Upstream,
        /// Its life.
        born_ms: u64,
        /// Its clock in milliseconds, if it told.
        clock_ms: Option<u64>,
    },
    /// A hold ended.
    HoldAnswered {
        /// Number of the call.
        call: u64,
        /// What the upstream lists.
        answer: Result<Listing, Failure>,
    },
    /// A start ended.
    StartAnswered {
        /// Number of the call.
        call: u64,
        /// The upstream's clock in milliseconds.
        answer: Result<Option<u64>, Failure>,
    },
    /// A stop ended.
    StopAnswered {
        /// Number of the call.
        call: u64,
        /// The upstream's clock in milliseconds.
        answer: Result<Option<u64>, Failure>,
    },
    /// The policy service answered.
    AdviceAnswered {
        /// Number of the call.
        call: u64,
        /// Upstreams that may run the step, each with a ticket.
        answer: Result<Vec<(id::Upstream, String)>, Failure>,
    },
    /// A proposal was committed and applied.
    ProposalCommitted {
        /// Number of the proposal.
        proposal: u64,
        /// The runs that it began.
        runs: Vec<(id::Task, Option<u32>)>,
    },
    /// A proposal ended without a known outcome, or was refused.
    ProposalFailed {
        /// Number of the proposal.
        proposal: u64,
    },
}

/// What an upstream lists in answer to a hold.
#[derive(Clone, Debug, Default)]
pub struct Listing {
    /// Its life.
    pub born_ms: Option<u64>,
    /// Its clock in milliseconds.
    pub clock_ms: Option<u64>,
    /// What runs.
    pub running: Vec<Running>,
    /// Ends that were not taken note of, in their order.
    pub ended: Vec<End>,
}

/// A run that an upstream lists as running.
#[derive(Clone, Debug)]
pub struct Running {
    /// The task.
    pub task: id::Task,
    /// The run.
    pub run: u32,
    /// Its latest checkpoint; empty if there is none.
    pub checkpoint: String,
    /// How far it is.
    pub percent: u8,
}

/// Why a call has no positive answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Failure {
    /// Nothing was sent.
    NotSent(String),
    /// Sent without an answer: it may be carried out, also later.
    NoAnswer(String),
    /// Refused; nothing was done.
    Refused(Refusal),
}

/// Why an upstream refused an order.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Refusal {
    /// It has seen a higher fencing token.
    Fenced,
    /// The run is not higher than one stopped or ended there.
    Old,
    /// The lease had ended when the order arrived.
    Late,
    /// No room.
    Room,
    /// The policy ticket is missing or no longer valid.
    Ticket,
    /// The upstream is unhealthy.
    Unhealthy,
    /// The order is for another life of the upstream.
    OtherLife,
    /// The order is malformed.
    Malformed,
}

impl fmt::Display for Failure {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Failure::NotSent(reason) => write!(f, "not sent: {reason}"),
            Failure::NoAnswer(reason) => write!(f, "no answer: {reason}"),
            Failure::Refused(refusal) => write!(f, "refused: {refusal:?}"),
        }
    }
}

use {
    std::{fmt, time::Duration},
    work::{id, upstream::End},
};

/// Input of [`Engine::step`](super::Engine::step).
#[derive(Clone, Debug)]
pub enum Event {
    /// Time has passed, or the registry has changed.
    Tick,
    /// An upstream sent a heartbeat.
    HeartbeatReceived {
        /// Upstream that sent it.
        upstream: id::Upstream,
        /// Incarnation of the upstream, identified by its start time in milliseconds.
        born_ms: u64,
        /// Clock of the upstream in milliseconds, if the heartbeat carries it.
        clock_ms: Option<u64>,
    },
    /// An upstream is slow after its start.
    UpstreamCold {
        /// Upstream that said so.
        upstream: id::Upstream,
        /// Incarnation of the upstream, identified by its start time in milliseconds.
        born_ms: u64,
        /// How much longer it is slow.
        remaining: Duration,
    },
    /// An upstream said that it leaves. What runs there may run on for a while.
    UpstreamLeaves {
        /// Upstream that said so.
        upstream: id::Upstream,
        /// Incarnation of the upstream, identified by its start time in milliseconds.
        born_ms: u64,
    },
    /// A hold was answered or failed.
    HoldAnswered {
        /// Number of the call, as in the effect.
        call: u64,
        /// Runs and ends that the upstream reports.
        answer: Result<Listing, Failure>,
    },
    /// A start was answered or failed.
    StartAnswered {
        /// Number of the call, as in the effect.
        call: u64,
        /// Clock of the upstream in milliseconds, if the answer carries it.
        answer: Result<Option<u64>, Failure>,
    },
    /// A stop was answered or failed.
    StopAnswered {
        /// Number of the call, as in the effect.
        call: u64,
        /// Clock of the upstream in milliseconds, if the answer carries it.
        answer: Result<Option<u64>, Failure>,
    },
    /// The policy service answered, or the query failed.
    AdviceAnswered {
        /// Number of the call, as in the effect.
        call: u64,
        /// Upstreams that may run the step, each with its policy ticket.
        answer: Result<Vec<(id::Upstream, String)>, Failure>,
    },
    /// A proposal was committed and applied.
    ProposalCommitted {
        /// Number of the proposal, as in the effect.
        proposal: u64,
        /// Numbers of the runs that it began; none for a task that may not be started any more.
        runs: Vec<(id::Task, Option<u32>)>,
    },
    /// A proposal was refused, or its outcome is unknown.
    ProposalFailed {
        /// Number of the proposal, as in the effect.
        proposal: u64,
    },
}

/// Runs and ends that an upstream reports in its answer to a hold.
#[derive(Clone, Debug, Default)]
pub struct Listing {
    /// Incarnation of the upstream, identified by its start time in milliseconds, if reported.
    pub born_ms: Option<u64>,
    /// Clock of the upstream in milliseconds, if reported.
    pub clock_ms: Option<u64>,
    /// Runs in progress.
    pub running: Vec<Running>,
    /// Ends that the leader has not released yet, in ascending order of their numbers.
    pub ended: Vec<End>,
    /// Whether there may be further ends, which the upstream lists once these are released.
    pub has_more_ends: bool,
}

/// A run in progress, as reported by its upstream.
#[derive(Clone, Debug)]
pub struct Running {
    /// Task that the run belongs to.
    pub task: id::Task,
    /// Number of the run.
    pub run: u32,
    /// Latest checkpoint; empty if there is none.
    pub checkpoint: String,
    /// Progress in percent.
    pub percent: u8,
}

/// Why a call has no positive answer; the text is the cause.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Failure {
    /// The order was not sent.
    NotSent(String),
    /// The order was sent without an answer. It may be carried out, now or later.
    NoAnswer(String),
    /// The upstream refused the order and did nothing.
    Refused(Refusal),
}

/// Why an upstream refused an order.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Refusal {
    /// The upstream has seen a higher fencing token, so another leader is in charge.
    Fenced,
    /// The number of the run is not higher than that of a run of the same task which was stopped or has ended there.
    Old,
    /// The lease had expired when the order arrived.
    Late,
    /// The upstream has too few free resources.
    Room,
    /// The policy ticket is missing or no longer valid.
    Ticket,
    /// The upstream is unhealthy and takes no work.
    Unhealthy,
    /// The order is for another incarnation of the upstream.
    OtherLife,
    /// The upstream could not parse the order.
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

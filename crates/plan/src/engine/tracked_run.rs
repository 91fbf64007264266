use {
    std::time::{Duration, Instant},
    work::{id, job::Resources},
};

/// Pause before an unanswered order is sent again.
pub(super) const RESEND_DELAY: Duration = Duration::from_millis(150);

/// How far the start of a run is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Phase {
    /// Assigned by an earlier leader, which may or may not have sent the start.
    Inherited,
    /// The start is on its way.
    Sending { call: u64 },
    /// The start had no answer; it is sent again at the given time.
    Unanswered { next: Instant },
    /// The upstream has confirmed it.
    Started { at: Instant },
}

/// The order to stop a run.
#[derive(Clone, Copy, Debug)]
pub(super) struct StopOrder {
    /// The call on its way.
    pub call: Option<u64>,
    /// When the order was confirmed.
    pub confirmed: Option<Instant>,
    /// When it is sent again if it is not confirmed.
    pub next: Instant,
}

/// What this leader knows of a run that may be running.
#[derive(Clone, Debug)]
pub(super) struct TrackedRun {
    pub upstream: id::Upstream,
    pub born_ms: u64,
    pub room: Resources,
    pub phase: Phase,
    /// When the start was first sent, or the run was inherited.
    pub tracked_since: Instant,
    /// Number of starts sent.
    pub start_attempts: u32,
    /// Whether a start had no answer, so that it may still be carried out, even by a later life of the upstream.
    pub has_unanswered_start: bool,
    pub stopping: Option<StopOrder>,
    /// Whether the upstream has listed it as running.
    pub is_listed: bool,
    pub percent: u8,
    /// When `percent` last rose.
    pub progressed_at: Instant,
    /// Latest checkpoint.
    pub checkpoint: String,
    /// Since when the task needs no run any more.
    pub surplus_since: Option<Instant>,
    /// Whether it resumed from a checkpoint.
    pub resumed: bool,
}

impl TrackedRun {
    pub fn new(
        upstream: id::Upstream,
        born_ms: u64,
        room: Resources,
        phase: Phase,
        now: Instant,
    ) -> TrackedRun {
        TrackedRun {
            upstream,
            born_ms,
            room,
            phase,
            tracked_since: now,
            start_attempts: 0,
            has_unanswered_start: false,
            stopping: None,
            is_listed: false,
            percent: 0,
            progressed_at: now,
            checkpoint: String::new(),
            surplus_since: None,
            resumed: false,
        }
    }
}

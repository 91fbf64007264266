use {
    super::{open_starts::OpenStarts, pace::Pace},
    std::time::{Duration, Instant},
    work::{id, job::Resources, registry::Blame},
};

/// Delay before an unanswered order is sent again.
pub(super) const RESEND_DELAY: Duration = Duration::from_millis(150);

/// State of the start of a run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Phase {
    /// Assigned by an earlier leader, which may or may not have sent the start.
    Inherited,
    /// The start was sent and has no answer yet.
    Sending { call: u64 },
    /// The start failed, or was not sent yet; it is sent at the given time.
    Unanswered { next: Instant },
    /// The upstream has confirmed the start.
    Started { at: Instant },
}

/// State of the order to stop a run.
#[derive(Clone, Copy, Debug)]
pub(super) struct StopOrder {
    /// Number of the call that has no answer yet.
    pub call: Option<u64>,
    /// Time of the upstream's confirmation.
    pub confirmed: Option<Instant>,
    /// Time of the next attempt, unless the stop is confirmed.
    pub next: Instant,
}

/// The leader's state of a run that may still be running.
#[derive(Clone, Debug)]
pub(super) struct TrackedRun {
    pub upstream: id::Upstream,
    pub born_ms: u64,
    pub resources: Resources,
    pub phase: Phase,
    /// Whether an earlier leader assigned it.
    pub is_inherited: bool,
    /// Time of the assignment, or of the takeover from an earlier leader.
    pub tracked_since: Instant,
    /// Number of starts sent.
    pub start_attempts: u32,
    pub open_starts: OpenStarts,
    /// Whether its start may be sent, for the first time or again. Not after a stop, nor if an earlier leader sent no more.
    pub is_startable: bool,
    pub stopping: Option<StopOrder>,
    /// Whether the upstream has reported it as running.
    pub is_listed: bool,
    pub percent: u8,
    /// Time at which `percent` last changed.
    pub progressed_at: Instant,
    /// Progress since the latest measurement of its upstream's speed.
    pub pace: Pace,
    /// Latest checkpoint; empty if there is none.
    pub checkpoint: String,
    /// Time since when the task is done and needs no run.
    pub surplus_since: Option<Instant>,
    /// Whether it resumed from a checkpoint.
    pub resumed: bool,
    /// Time at which it was last known to be at its upstream: the answer to its start, or the latest list that names it.
    pub seen_at: Instant,
    /// Time of the first failed hold before the crash of its upstream; none without one.
    pub lost_at: Option<Instant>,
    /// Whether it may have crashed its upstream; set when the upstream is known to have crashed.
    pub blame: Blame,
}

impl TrackedRun {
    pub fn new(
        upstream: id::Upstream,
        born_ms: u64,
        resources: Resources,
        phase: Phase,
        now: Instant,
    ) -> TrackedRun {
        TrackedRun {
            upstream,
            born_ms,
            resources,
            phase,
            is_inherited: phase == Phase::Inherited,
            tracked_since: now,
            start_attempts: 0,
            open_starts: OpenStarts::none(now),
            is_startable: true,
            stopping: None,
            is_listed: false,
            percent: 0,
            progressed_at: now,
            pace: Pace::default(),
            checkpoint: String::new(),
            surplus_since: None,
            resumed: false,
            seen_at: now,
            lost_at: None,
            blame: Blame::None,
        }
    }

    /// Whether the upstream has confirmed the start or has listed the run. The state of a run that an earlier leader
    /// assigned is not known before it is listed.
    pub fn is_known_to_have_started(&self) -> bool {
        self.is_listed || matches!(self.phase, Phase::Started { .. })
    }

    /// Whether the upstream may have carried out a start.
    pub fn may_have_started(&self) -> bool {
        let is_sent = matches!(self.phase, Phase::Inherited | Phase::Sending { .. });
        is_sent || self.is_known_to_have_started() || !self.open_starts.is_empty()
    }
}

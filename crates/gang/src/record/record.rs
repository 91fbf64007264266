use {
    super::Requirements,
    crate::{Reason, fleet::Allocation},
    model::{
        job::{Class, Spec, State},
        place::Place,
        shape::Shape,
    },
    std::time::Instant,
};

/// Where a job stands between the scheduler and the controller.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Phase {
    /// In its queue.
    Queued,
    /// Queued, but not tried before this instant.
    Backoff(Instant),
    /// A placement was proposed; its accelerators count as held.
    Proposed,
    /// Its failure was proposed.
    Failing,
    /// Holds accelerators by a committed attempt.
    Held,
}

/// A job that has not ended.
#[derive(Clone, Debug)]
pub struct Record {
    /// Index of the account in the scheduler's ledgers.
    pub account: u32,
    /// Class.
    pub class: Class,
    /// Shape.
    pub shape: Shape,
    /// Where it shall run; the home region of the account if absent.
    pub place: Option<Place>,
    /// Whether it may run again after a start.
    pub repeatable: bool,
    /// Bound on attempts, at least 1.
    pub max_attempts: u32,
    /// Submission by the wall clock.
    pub submitted_ms: u64,
    /// Last transition by the wall clock.
    pub changed_ms: u64,
    /// Committed state.
    pub state: State,
    /// Attempts that may have started, as committed.
    pub starts: u32,
    /// Whether a cancellation was accepted.
    pub cancelled: bool,
    /// Whether the held place is beyond the guarantees of the account.
    pub borrowed: bool,
    /// Name of the guarantee under which its place was proposed.
    pub guarantee: Option<Box<str>>,
    /// Standing between scheduler and controller.
    pub phase: Phase,
    /// What it holds, by a proposal or by a committed attempt.
    pub allocations: Vec<Allocation>,
    /// When its current place was proposed or first seen.
    pub placed_at: Option<Instant>,
    /// When its current attempt was reported as running.
    pub running_since: Option<Instant>,
    /// Most seconds of work of a task since its last checkpoint.
    pub since_checkpoint: u32,
    /// Workers on which its tasks failed.
    pub failed_on: Vec<u32>,
    /// Why its reclaim was proposed, if it was.
    pub reclaim_reason: Option<Reason>,
    /// Whether it was reported as a straggler in this attempt.
    pub straggler: bool,
}

impl Record {
    /// A record of a queued job of `account`.
    pub fn new(account: u32, spec: &Spec) -> Record {
        Record {
            account,
            class: spec.class,
            shape: spec.shape.clone(),
            place: spec.place.clone(),
            repeatable: spec.repeatable,
            max_attempts: match spec.repeatable {
                true => spec.max_attempts.max(1),
                false => 1,
            },
            submitted_ms: 0,
            changed_ms: 0,
            state: State::Queued,
            starts: 0,
            cancelled: false,
            borrowed: false,
            guarantee: None,
            phase: Phase::Queued,
            allocations: Vec::new(),
            placed_at: None,
            running_since: None,
            since_checkpoint: 0,
            failed_on: Vec::new(),
            reclaim_reason: None,
            straggler: false,
        }
    }

    /// What decides whether it can be placed.
    pub fn requirements(&self) -> Requirements {
        Requirements {
            shape: self.shape.clone(),
            place: self.place.clone(),
            preemptible: self.is_preemptible(),
            avoid: self.failed_on.clone(),
        }
    }

    /// Accelerators of the gang.
    pub fn accelerators(&self) -> u32 {
        self.shape.total_accelerators()
    }

    /// Tells whether it is about to give its place back.
    pub fn is_ending(&self) -> bool {
        self.state == State::Stopping || self.reclaim_reason.is_some()
    }

    /// Attempts that have started once the current or next one has.
    pub fn starts_with_current(&self) -> u32 {
        match self.state {
            State::Queued | State::Placed => self.starts + 1,
            _ => self.starts,
        }
    }

    /// Tells whether it may be stopped and run again. The last allowed attempt is never stopped for
    /// other work, since that would end the job.
    pub fn is_preemptible(&self) -> bool {
        self.repeatable && self.starts_with_current() < self.max_attempts
    }

    /// Accelerator seconds lost if it is stopped now.
    pub fn loss(&self) -> u64 {
        match self.state {
            State::Running | State::Starting => {
                u64::from(self.since_checkpoint) * u64::from(self.accelerators())
            }
            _ => 0,
        }
    }
}

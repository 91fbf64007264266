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

/// Scheduling phase of a job, including proposals that are not committed yet.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Phase {
    /// In a queue.
    Queued,
    /// In backoff; returns to its queue at this instant.
    Backoff(Instant),
    /// A placement was proposed; its accelerators count as allocated.
    Proposed,
    /// Its failure was proposed, or its cancellation was accepted; it is not placed any more.
    Failing,
    /// A committed attempt holds accelerators.
    Committed,
}

/// A job that has not ended.
#[derive(Clone, Debug)]
pub struct Record {
    /// Index of the account in `Scheduler::account_names` and `Scheduler::usages`.
    pub account: u32,
    /// Service class as submitted.
    pub class: Class,
    /// Shape of the gang.
    pub shape: Shape,
    /// Place named by the job; `None` for the home region of the account.
    pub place: Option<Place>,
    /// Whether it may run again after a start.
    pub repeatable: bool,
    /// Maximum number of attempts; 1 if it is not repeatable.
    pub max_attempts: u32,
    /// Submission time, in milliseconds since the Unix epoch.
    pub submitted_ms: u64,
    /// Time of the last committed transition, in milliseconds since the Unix epoch.
    pub changed_ms: u64,
    /// Last committed state.
    pub state: State,
    /// Number of attempts that may have started, as committed.
    pub starts: u32,
    /// Whether a cancellation was accepted.
    pub cancelled: bool,
    /// Whether its allocations count against no guarantee.
    pub borrowed: bool,
    /// Name of the guarantee that its placement was proposed for.
    pub guarantee: Option<Box<str>>,
    /// Phase including open proposals, which `state` does not show.
    pub phase: Phase,
    /// Allocations by task, from a proposal or a committed attempt.
    pub allocations: Vec<Allocation>,
    /// When its allocations were proposed or first reported.
    pub placed_at: Option<Instant>,
    /// When its current attempt started running.
    pub running_since: Option<Instant>,
    /// Longest time that any of its tasks has reported since its last checkpoint, in seconds.
    pub since_checkpoint: u32,
    /// Indices of the machines on which its tasks failed.
    pub failed_on: Vec<u32>,
    /// Why its reclaim was proposed, while the proposal is open or in progress.
    pub reclaim_reason: Option<Reason>,
    /// Whether this attempt was reported as a straggler.
    pub straggler: bool,
}

impl Record {
    /// Creates the record of a newly queued job of the account with this index.
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

    /// The requirements by which it is queued.
    pub fn requirements(&self) -> Requirements {
        Requirements {
            shape: self.shape.clone(),
            place: self.place.clone(),
            preemptible: self.is_preemptible(),
            avoid: self.failed_on.clone(),
        }
    }

    /// Number of accelerators of the gang.
    pub fn accelerators(&self) -> u32 {
        self.shape.total_accelerators()
    }

    /// Tells whether it is stopping or its reclaim was proposed.
    pub fn is_ending(&self) -> bool {
        self.state == State::Stopping || self.reclaim_reason.is_some()
    }

    /// Number of started attempts, counting the current or next one.
    pub fn starts_with_current(&self) -> u32 {
        match self.state {
            State::Queued | State::Placed => self.starts + 1,
            _ => self.starts,
        }
    }

    /// Tells whether it may be stopped and run again. The last attempt is never preempted, since that
    /// would end the job.
    pub fn is_preemptible(&self) -> bool {
        self.repeatable && self.starts_with_current() < self.max_attempts
    }

    /// Accelerator seconds of work since the last checkpoint, lost if it is stopped now.
    pub fn loss(&self) -> u64 {
        match self.state {
            State::Running | State::Starting => {
                u64::from(self.since_checkpoint) * u64::from(self.accelerators())
            }
            _ => 0,
        }
    }
}

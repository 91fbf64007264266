use {
    super::Instruction,
    crate::{
        config::Config,
        id,
        job::Definition,
        upstream::{End, Upstream},
    },
    serde::{Deserialize, Serialize},
    std::fmt,
};

/// A replicated change of the registry. `at_ms` is the wall-clock time that the leader's group agrees on.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Command {
    /// Applies a configuration if its version is higher than the current one.
    Configure {
        /// Agreed wall-clock time, in milliseconds since the Unix epoch.
        at_ms: u64,
        /// Configuration that passed its checks.
        config: Box<Config>,
    },
    /// Accepts a job, unless its id is already in use.
    Submit {
        /// Agreed wall-clock time, in milliseconds since the Unix epoch.
        at_ms: u64,
        /// Id that the caller chose for the job.
        job: id::Job,
        /// Account of the caller; none for a public queue.
        account: Option<String>,
        /// [Endpoint](crate::config::Queue::endpoint) of the queue that takes the job; its name in commands of earlier
        /// builds.
        queue: String,
        /// The job as its caller defined it.
        form: Box<Definition>,
    },
    /// Cancels a job that has not ended.
    Cancel {
        /// Agreed wall-clock time, in milliseconds since the Unix epoch.
        at_ms: u64,
        /// Job to cancel.
        job: id::Job,
    },
    /// Adds an upstream or updates its description.
    Register {
        /// Current description of the upstream.
        upstream: Box<Upstream>,
    },
    /// Removes an upstream that has left, and its runs. Only earlier builds propose this; now the leader removes an upstream
    /// once its runs are over.
    Leave {
        /// Upstream that has left.
        upstream: id::Upstream,
        /// Incarnation of the upstream, identified by its start time in milliseconds.
        born_ms: u64,
    },
    /// Decisions of the leader about runs, and what it has learned about them.
    Progress {
        /// Agreed wall-clock time, in milliseconds since the Unix epoch.
        at_ms: u64,
        /// Updates in the order in which they are applied.
        steps: Vec<Update>,
    },
    /// Evacuates a data centre or takes it back.
    Evacuate {
        /// Agreed wall-clock time, in milliseconds since the Unix epoch.
        at_ms: u64,
        /// Name of the data centre.
        data_centre: String,
        /// What the operator orders.
        instruction: Instruction,
    },
}

/// One decision or finding of the leader.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Update {
    /// Begins runs of tasks before they are started; all members of a gang are in one update.
    Assign(Vec<Placement>),
    /// An upstream reported ends of runs.
    Ended {
        /// Upstream that reported them.
        upstream: id::Upstream,
        /// Incarnation of the upstream, identified by its start time in milliseconds.
        born_ms: u64,
        /// Ends in ascending order of their numbers.
        ends: Vec<End>,
    },
    /// A run is known to be over, or never to start, although no end was reported.
    Void {
        /// Task that the run belongs to.
        task: id::Task,
        /// Number of the run.
        run: u32,
        /// How this is known.
        reason: Void,
        /// Latest checkpoint that the leader has seen; empty if there is none.
        checkpoint: String,
        /// Whether the run may have crashed its upstream.
        blame: Blame,
    },
    /// The upstream runs the task. It may be a later incarnation than the one to which the run was assigned.
    Running {
        /// Task that the run belongs to.
        task: id::Task,
        /// Number of the run.
        run: u32,
        /// Incarnation that runs the task, identified by its start time in milliseconds.
        born_ms: u64,
    },
    /// Removes ended jobs whose retention time is over.
    Expire {
        /// Jobs that ended before this time are removed, in milliseconds since the Unix epoch.
        before_ms: u64,
    },
    /// Removes an upstream that has been silent for long.
    Forget {
        /// Upstream to remove.
        upstream: id::Upstream,
        /// Incarnation of the upstream, identified by its start time in milliseconds.
        born_ms: u64,
    },
}

/// Assignment of a task to an upstream.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Placement {
    /// Task to start.
    pub task: id::Task,
    /// Upstream that is to run it.
    pub upstream: id::Upstream,
    /// Incarnation of the upstream, identified by its start time in milliseconds.
    pub born_ms: u64,
}

/// Why a run without a reported end is known to be over.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Void {
    /// The upstream refused the start.
    Refused,
    /// The upstream does not report the run and will not start it any more.
    Absent,
    /// The upstream has restarted.
    Reborn,
    /// The lease has expired by the upstream's clock.
    Lapsed,
    /// Another upstream has taken the address of the one that had the run.
    Replaced,
}

/// How far a run may have caused the loss of its upstream.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Blame {
    /// The upstream is not lost, or the run had nothing to do with it.
    #[default]
    None,
    /// The upstream crashed after the run had made progress, or it may not have started the run.
    Possible,
    /// The upstream crashed before the run had made progress, with other work on it.
    Shared,
    /// The upstream crashed before the run had made progress, with no other work on it than members of the same gang.
    Sole,
}

impl fmt::Display for Blame {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Blame::None => "none",
            Blame::Possible => "possible",
            Blame::Shared => "shared",
            Blame::Sole => "sole",
        })
    }
}

impl fmt::Display for Void {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Void::Refused => "refused",
            Void::Absent => "absent",
            Void::Reborn => "reborn",
            Void::Lapsed => "lapsed",
            Void::Replaced => "replaced",
        })
    }
}

/// Result of a command, returned to its proposer.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Answer {
    /// The job is accepted, now or earlier under the same id.
    Accepted,
    /// The id belongs to a job of another queue or account; nothing has changed.
    Taken,
    /// The job is cancelled, or had already ended.
    Cancelled,
    /// No job has this id.
    Missing,
    /// The command was applied and has no other result.
    Done,
    /// For each placement of each [`Update::Assign`]: the number of the new run, or none if the task may
    /// not be started any more.
    Runs(Vec<(id::Task, Option<u32>)>),
    /// The order of an operator has been overtaken by another one on its way; nothing has changed.
    Overtaken,
    /// The order of an operator may be a late copy of one that has been carried out and reversed since; nothing has
    /// changed.
    Ambiguous,
    /// Too many data centres are evacuated; nothing has changed.
    Full,
}

use {
    crate::{
        config::Config,
        id,
        job::Definition,
        upstream::{End, Upstream},
    },
    serde::{Deserialize, Serialize},
    std::fmt,
};

/// A change of the book. `at_ms` is the time of day that the leader's group agrees on.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Command {
    /// Puts a configuration in force if its version is higher than the one held.
    Configure {
        /// Time of day.
        at_ms: u64,
        /// The configuration.
        config: Box<Config>,
    },
    /// Accepts a job, unless its id is known.
    Submit {
        /// Time of day.
        at_ms: u64,
        /// Id of the job.
        job: id::Job,
        /// Account of the caller; none in a public queue.
        account: Option<String>,
        /// Queue that the caller named.
        queue: String,
        /// What is asked for.
        form: Box<Definition>,
    },
    /// Cancels a job.
    Cancel {
        /// Time of day.
        at_ms: u64,
        /// Id of the job.
        job: id::Job,
    },
    /// Takes down an upstream, or what is new of it.
    Register {
        /// Its description.
        upstream: Box<Upstream>,
    },
    /// An upstream has left; nothing runs on it any more.
    Leave {
        /// Its id.
        upstream: id::Upstream,
        /// Its life.
        born_ms: u64,
    },
    /// What the leader decided and learned about runs.
    Progress {
        /// Time of day.
        at_ms: u64,
        /// In order.
        steps: Vec<Update>,
    },
}

/// One decision or finding of the leader.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Update {
    /// Tasks are about to be started, all members of a gang in one step.
    Assign(Vec<Placement>),
    /// An upstream listed ends of runs.
    Ended {
        /// The upstream.
        upstream: id::Upstream,
        /// Its life.
        born_ms: u64,
        /// The ends, in their order.
        ends: Vec<End>,
    },
    /// A run is known not to be running any more, or never to begin, without an end of its own.
    Void {
        /// The task.
        task: id::Task,
        /// The run.
        run: u32,
        /// How that is known.
        reason: Void,
        /// Latest checkpoint seen; empty if there is none.
        checkpoint: String,
    },
    /// A run was found in a later life of its upstream than the one that it was sent to.
    Moved {
        /// The task.
        task: id::Task,
        /// The run.
        run: u32,
        /// Life of the upstream that has it.
        born_ms: u64,
    },
    /// Ended jobs that were shown for long enough are forgotten.
    Expire {
        /// Jobs that ended before this time of day.
        before_ms: u64,
    },
    /// An upstream that was silent for long is forgotten.
    Forget {
        /// The upstream.
        upstream: id::Upstream,
        /// Its life.
        born_ms: u64,
    },
}

/// Where a task is to be started.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Placement {
    /// The task.
    pub task: id::Task,
    /// The upstream.
    pub upstream: id::Upstream,
    /// Its life.
    pub born_ms: u64,
}

/// How it is known that a run has ended without a listed end.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Void {
    /// The upstream refused the start.
    Refused,
    /// The upstream does not list the run and accepts no late start of it.
    Absent,
    /// The upstream began a new life.
    Reborn,
    /// The lease has ended by the upstream's clock.
    Lapsed,
}

impl fmt::Display for Void {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Void::Refused => "refused",
            Void::Absent => "absent",
            Void::Reborn => "reborn",
            Void::Lapsed => "lapsed",
        })
    }
}

/// What a command returns to its proposer.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Answer {
    /// The job is accepted, now or earlier under the same id.
    Accepted,
    /// The id belongs to a job of another queue or account; nothing was changed.
    Taken,
    /// The job is cancelled, or had ended.
    Cancelled,
    /// No such job.
    Missing,
    /// Applied.
    Done,
    /// For each placement of each [`Update::Assign`]: the number of the run, or none if the task could not be
    /// started any more.
    Runs(Vec<(id::Task, Option<u32>)>),
}

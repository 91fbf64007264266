use {
    model::job::{Member, State},
    serde::{Deserialize, Serialize},
};

/// A transition of a job.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", tag = "step")]
pub enum Step {
    /// `queued` to `placed`.
    Place {
        /// Every task with its place.
        members: Vec<Member>,
        /// Whether the gang runs beyond the guarantees of its account.
        borrowed: bool,
    },
    /// `placed` to `queued`; nothing has run.
    Release {
        /// Why the reservation failed.
        reason: String,
    },
    /// `placed` to `starting`; from now on the job may have run.
    Start,
    /// `starting` to `running`.
    Run,
    /// `starting` or `running` to `stopping`.
    Stop {
        /// Why the gang is stopped.
        reason: String,
        /// Whether the attempt counts as failed; a reclaim does not.
        failed: bool,
    },
    /// `starting`, `running`, `stopping` or `queued` to an end.
    End {
        /// `done`, `failed`, `cancelled` or `unknown`.
        state: State,
        /// Result or reason.
        detail: String,
    },
    /// `stopping` to `queued` when every member is known to have stopped.
    Requeue {
        /// Why the job is queued again.
        reason: String,
    },
}

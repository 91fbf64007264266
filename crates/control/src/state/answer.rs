use {
    super::{Cancellation, Claim},
    model::{job::Job, note::Outcome},
    serde::{Deserialize, Serialize},
};

/// What a command returns to its proposer once it is applied.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", tag = "answer", content = "value")]
pub enum Answer {
    /// Outcome of a note.
    Note(Outcome),
    /// The accepted job, or the one accepted earlier under the same key.
    Job(Box<Job>),
    /// The key was used before for another job.
    KeyReused,
    /// The job or account does not exist.
    Missing,
    /// The job as it is after a step; the step had no effect because the job had moved on.
    Stale(Box<Job>),
    /// The job after an effective step.
    Moved(Box<Job>),
    /// What a cancellation did.
    Cancelled(Cancellation, Box<Job>),
    /// The caller of the command now holds the claim.
    Granted,
    /// The key is claimed already; its record.
    Claimed(Claim),
    /// Too many claims are kept; nothing was changed.
    Full,
    /// The command was applied and returns nothing.
    Done,
    /// The command could not be decoded by this version; nothing was changed.
    Malformed(String),
}

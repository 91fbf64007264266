use serde::{Deserialize, Serialize};

/// The leader's answer to a [`Request`](super::Request).
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Reply {
    /// The job is accepted and stored.
    Accepted,
    /// How far a job is.
    Job(JobState),
    /// Number of waiting jobs.
    Waiting(u64),
    /// The job is cancelled, or had ended.
    Cancelled,
    /// No queue has this host and path.
    NoQueue,
    /// The queue has no such job.
    NoJob,
    /// The key is missing or belongs to no account.
    UnknownKey,
    /// There is no configuration yet.
    NotConfigured,
    /// The job was not accepted and never runs; it may be submitted again after a pause.
    Overloaded {
        /// The pause in milliseconds.
        retry_ms: u64,
    },
    /// The call cannot be carried out as it is.
    Invalid(String),
    /// The configuration as its operator sent it.
    Configuration(Vec<u8>),
    /// Done.
    Done,
    /// Ids of the members of the control group.
    Members(Vec<u64>),
}

/// How far a job is, as its caller sees it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum JobState {
    /// No task has started.
    Queued,
    /// A task has started.
    Running,
    /// All tasks are done.
    Completed,
    /// A task or gang failed too often.
    Failed,
    /// Cancelled by its caller.
    Cancelled,
}

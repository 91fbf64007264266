use serde::{Deserialize, Serialize};

/// The leader's answer to a [`Request`](super::Request).
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Reply {
    /// The job is accepted and stored.
    Accepted,
    /// State of the requested job.
    Job(JobState),
    /// Number of waiting jobs in the requested queue.
    Waiting(u64),
    /// The job is cancelled, or had already ended.
    Cancelled,
    /// No queue matches the host and path.
    NoQueue,
    /// The queue has no such job.
    NoJob,
    /// The API key is missing or belongs to no client account.
    UnknownKey,
    /// No configuration has been stored yet.
    NotConfigured,
    /// The job was not accepted and will never run; the caller may submit it again after a delay.
    Overloaded {
        /// The delay in milliseconds.
        retry_ms: u64,
    },
    /// The request is invalid; the text says why. Repeating it does not help.
    Invalid(String),
    /// The current configuration, byte for byte as the operator sent it.
    Configuration(Vec<u8>),
    /// The request succeeded and returns nothing.
    Done,
    /// Ids of the members of the control group.
    Members(Vec<u64>),
    /// The data centres.
    DataCentres {
        /// Number of the latest order to evacuate a data centre or to take it back.
        number: u64,
        /// Data centres that have upstreams or are evacuated.
        data_centres: Vec<DataCentre>,
    },
    /// The order has been overtaken by another one and changed nothing.
    Overtaken,
    /// The order may be a late copy of one that has been reversed since; it changed nothing. A new order is carried out
    /// once operators cannot send such a copy any more.
    Ambiguous,
}

/// A data centre with upstreams, or one that is evacuated.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct DataCentre {
    /// Its name.
    pub name: String,
    /// Time in milliseconds since it was evacuated; none if it is not.
    pub evacuated_for_ms: Option<u64>,
    /// Number of its upstreams.
    pub upstreams: u64,
    /// Number of runs there that may still be running.
    pub runs: u64,
}

/// State of a job as shown to its caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum JobState {
    /// No task has started.
    Queued,
    /// At least one task has started.
    Running,
    /// All tasks have completed.
    Completed,
    /// A task or gang used up its attempts.
    Failed,
    /// Cancelled by its caller.
    Cancelled,
}

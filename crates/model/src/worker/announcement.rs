use {
    super::{Task, Worker},
    schemars::JsonSchema,
    serde::{Deserialize, Serialize},
};

/// What a worker sends to any instance to be known and stay known.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
pub struct Announcement {
    /// The worker.
    pub worker: Worker,
    /// Grows with each announcement of this worker; starts from its wall clock in milliseconds.
    pub sequence: u64,
    /// The worker's monotonic clock in milliseconds.
    #[serde(default)]
    pub clock_ms: u64,
    /// Every task it holds or has ended recently.
    #[serde(default)]
    pub tasks: Vec<Task>,
}

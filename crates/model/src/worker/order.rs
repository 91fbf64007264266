use {
    schemars::JsonSchema,
    serde::{Deserialize, Serialize},
};

/// What a worker is told to do with one task.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize, JsonSchema)]
#[serde(rename_all = "kebab-case")]
pub enum Action {
    /// Hold the accelerators without running anything.
    Reserve,
    /// Run the task; repeated orders with the same token run it once.
    Start,
    /// Extend the lease.
    Renew,
    /// Write a checkpoint and go on.
    Checkpoint,
    /// Stop the task and free the accelerators.
    Stop,
}

/// An order for one task. Idempotent by token, task and action.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
pub struct Order {
    /// Fencing token; a worker refuses one lower than it has seen for any of the accelerators.
    pub token: u64,
    /// Job.
    pub job: u64,
    /// Number of the attempt.
    pub attempt: u32,
    /// Index of the task in the gang.
    pub task: u16,
    /// Indices of the accelerators.
    pub accelerators: Vec<u16>,
    /// What to do.
    pub action: Action,
    /// Length of the lease in milliseconds; the worker stops the task when it ends.
    pub lease_ms: u64,
    /// The worker's own clock as it gave it last. A lease counts from here, so that an order delayed on
    /// its way or by a paused leader extends nothing beyond what its sender knew. Not used by `reserve`,
    /// whose lease counts from its arrival.
    #[serde(default)]
    pub echo_ms: u64,
    /// The job's payload; only with `start`.
    #[serde(default)]
    pub payload: String,
}

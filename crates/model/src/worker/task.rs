use {
    schemars::JsonSchema,
    serde::{Deserialize, Serialize},
};

/// What a worker says of one task.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize, JsonSchema)]
#[serde(rename_all = "kebab-case")]
pub enum TaskState {
    /// Accelerators are held; nothing runs.
    Reserved,
    /// Runs.
    Running,
    /// Stopped by an order or by the end of its lease.
    Stopped,
    /// Ended with success.
    Done,
    /// Ended without success.
    Failed,
    /// The order was refused; the detail says why.
    Refused,
    /// The worker knows no such task.
    Absent,
}

/// Resources that a task used, reported with a lag.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize, JsonSchema)]
pub struct Usage {
    /// Processors in use.
    pub cpus: f32,
    /// Memory in use in MB.
    pub memory_mb: u32,
    /// Seconds of work since the last checkpoint.
    pub since_checkpoint_seconds: u32,
}

/// State of one task on a worker.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
pub struct Task {
    /// Fencing token of the attempt.
    pub token: u64,
    /// Job.
    pub job: u64,
    /// Index of the task in the gang.
    pub task: u16,
    /// State.
    pub state: TaskState,
    /// Resources in use.
    #[serde(default)]
    pub usage: Usage,
    /// Result of a finished task or reason of a refusal.
    #[serde(default)]
    pub detail: String,
}

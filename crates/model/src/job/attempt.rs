use {
    schemars::JsonSchema,
    serde::{Deserialize, Serialize},
};

/// One task of a gang on the accelerators it holds.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
pub struct Member {
    /// Index of the task in the gang.
    pub task: u16,
    /// Name of the worker.
    pub worker: String,
    /// Indices of the accelerators on that worker.
    pub accelerators: Vec<u16>,
}

/// One try to run a job.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
pub struct Attempt {
    /// Counts the attempts of the job from 1.
    pub number: u32,
    /// Fencing token; grows with every attempt of any job of the group.
    pub token: u64,
    /// Every task with its place.
    pub members: Vec<Member>,
}

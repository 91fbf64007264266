use {
    super::Adjacency,
    schemars::JsonSchema,
    serde::{Deserialize, Serialize},
};

/// The number and size of a gang's tasks. The accelerators of one task are adjacent on one worker.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Shape {
    /// Tasks in the gang, 1 to 64.
    pub tasks: u16,
    /// Accelerators per task.
    pub accelerators: u16,
    /// Processors per task.
    #[serde(default)]
    pub cpus: u16,
    /// Memory per task in MB.
    #[serde(default)]
    pub memory_mb: u32,
    /// How close together the tasks must run.
    #[serde(default)]
    pub adjacency: Adjacency,
}

impl Shape {
    /// Largest number of tasks in a gang.
    pub const MAX_TASKS: u16 = 64;

    /// Accelerators of the whole gang.
    pub fn total_accelerators(&self) -> u32 {
        u32::from(self.tasks) * u32::from(self.accelerators)
    }
}

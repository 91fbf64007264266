use {
    super::Task,
    schemars::JsonSchema,
    serde::{Deserialize, Serialize},
};

/// What a worker answers to orders.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
pub struct Answer {
    /// The worker's monotonic clock in milliseconds.
    pub clock_ms: u64,
    /// State of each ordered task, in the order of the orders.
    pub tasks: Vec<Task>,
}

use {
    schemars::JsonSchema,
    serde::{Deserialize, Serialize},
};

/// Where a job is between its acceptance and its end.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize, JsonSchema)]
#[serde(rename_all = "kebab-case")]
pub enum State {
    /// Waits for a place.
    Queued,
    /// Has a place; its workers are being reserved. Nothing has run in this attempt.
    Placed,
    /// All workers are reserved and may have received the order to start.
    Starting,
    /// All tasks run.
    Running,
    /// All tasks are being stopped, to be queued again or to end.
    Stopping,
    /// Ended with success.
    Done,
    /// Ended without success; the detail gives the reason.
    Failed,
    /// Cancelled; the detail says whether it ran.
    Cancelled,
    /// A job that must not run twice started, and whether it finished is not known.
    Unknown,
}

impl State {
    /// Tells whether the job will never change again by itself.
    pub fn is_end(self) -> bool {
        matches!(
            self,
            State::Done | State::Failed | State::Cancelled | State::Unknown
        )
    }

    /// Tells whether the job holds accelerators.
    pub fn holds(self) -> bool {
        matches!(
            self,
            State::Placed | State::Starting | State::Running | State::Stopping
        )
    }
}

use {
    super::{Attempt, Spec, State},
    schemars::JsonSchema,
    serde::{Deserialize, Serialize},
};

/// An accepted job.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
pub struct Job {
    /// Unique in its group.
    pub id: u64,
    /// What was submitted.
    pub spec: Spec,
    /// Current state.
    pub state: State,
    /// Current or last attempt.
    pub attempt: Option<Attempt>,
    /// Attempts in which the order to start may have been sent.
    pub starts: u32,
    /// Whether a cancellation was accepted.
    pub cancelled: bool,
    /// Whether the job runs on capacity beyond the account's guarantees.
    pub borrowed: bool,
    /// Reason of the last transition, for people.
    pub detail: String,
    /// Milliseconds since the Unix epoch at submission, by the leader's clock.
    pub submitted_ms: u64,
    /// Milliseconds since the Unix epoch at the last transition.
    pub changed_ms: u64,
}

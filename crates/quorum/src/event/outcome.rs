use {
    crate::Refusal,
    serde::{Deserialize, Serialize},
};

/// Result of a request to the node.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Outcome {
    /// The command or membership change is committed. The `Apply` of a command precedes this
    /// outcome.
    Committed {
        /// Index of its entry.
        index: u64,
    },
    /// A read of the local state machine is linearizable now: every entry up to `index` was emitted
    /// as `Apply` before this outcome.
    ReadReady {
        /// Index that the read reflects at least.
        index: u64,
    },
    /// This replica does not lead, or is transferring its leadership. The request was not run.
    NotLeader {
        /// Id of the replica to ask instead, if known.
        leader: Option<u64>,
    },
    /// This replica lost its leadership while the proposal was pending. The proposal may or may not
    /// be committed later.
    Lost,
    /// The leader refused the request. It was not run.
    Refused {
        /// Reason of the refusal, which says whether to retry.
        reason: Refusal,
    },
}

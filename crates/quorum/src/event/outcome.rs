use {
    crate::Refusal,
    serde::{Deserialize, Serialize},
};

/// How a request ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Outcome {
    /// The command or change is committed; the `Apply` of a command precedes this outcome.
    Committed {
        /// Its index.
        index: u64,
    },
    /// A read of the local state machine is linearizable now: every entry up to `index` was handed
    /// out as `Apply` before this outcome.
    ReadReady {
        /// Index the read reflects, at least.
        index: u64,
    },
    /// This replica does not lead. The request was not run.
    NotLeader {
        /// The leader, if known.
        leader: Option<u64>,
    },
    /// Leadership was lost while the proposal was pending. It may or may not be committed later.
    Lost,
    /// The leader refused the request. It was not run.
    Refused {
        /// Why.
        reason: Refusal,
    },
}

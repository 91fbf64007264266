use serde::{Deserialize, Serialize};

/// Why a leader refused a request. The request was not run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Refusal {
    /// The leader has not committed an entry of its term yet; retry.
    NotReady,
    /// Another membership change has not finished; retry.
    ChangeInProgress,
    /// The learner lacks committed entries; retry.
    NotCaughtUp {
        /// Last entry known to be on the learner's disk.
        matched: u64,
        /// Entry it must hold.
        needed: u64,
    },
    /// The pair already has this role.
    AlreadyMember,
    /// The pair is not in the member list, or not a learner.
    UnknownMember,
    /// The change would leave no voter.
    LastVoter,
    /// Too many bytes are waiting to be committed; retry.
    Full,
}

use serde::{Deserialize, Serialize};

/// Why a leader refused a request. The request was not run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Refusal {
    /// The leader has not committed an entry of its term yet or is transferring its leadership;
    /// retry.
    NotReady,
    /// Another membership change is not finished; retry.
    ChangeInProgress,
    /// The learner lacks committed entries; retry.
    NotCaughtUp {
        /// Index of the last entry known to be on the learner's disk.
        matched: u64,
        /// Index of the entry that it must hold.
        needed: u64,
    },
    /// The member to add is already in the member list, or the learner to promote is a voter.
    AlreadyMember,
    /// The member is not in the member list, or does not have the role that the change requires.
    UnknownMember,
    /// The change would leave no voter.
    LastVoter,
    /// Too many bytes of entries wait to be committed and applied; retry.
    Full,
}

use {
    crate::Member,
    serde::{Deserialize, Serialize},
};

/// Term and vote. A change must be synced to disk before any later message is sent.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct HardState {
    /// Highest term seen.
    pub term: u64,
    /// Replica that got this replica's vote in that term; `None` if no vote was given.
    pub vote: Option<Member>,
}

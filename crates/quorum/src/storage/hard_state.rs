use {
    crate::Member,
    serde::{Deserialize, Serialize},
};

/// Term and vote. Must be synced before any later message is sent.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct HardState {
    /// Highest term seen.
    pub term: u64,
    /// Replica voted for in that term.
    pub vote: Option<Member>,
}

use {
    crate::Members,
    serde::{Deserialize, Serialize},
};

/// State of the state machine after an entry; replaces the log up to that entry.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Snapshot {
    /// Last entry included.
    pub index: u64,
    /// Term of that entry.
    pub term: u64,
    /// Member list as of that entry.
    pub members: Members,
    /// Serialized state.
    pub data: Vec<u8>,
}

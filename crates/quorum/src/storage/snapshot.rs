use {
    crate::Members,
    serde::{Deserialize, Serialize},
};

/// State of the state machine after an entry. It replaces the log up to that entry.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Snapshot {
    /// Index of the last entry included.
    pub index: u64,
    /// Term of that entry.
    pub term: u64,
    /// Member list as of that entry.
    pub members: Members,
    /// Serialized state of the state machine.
    pub data: Vec<u8>,
}

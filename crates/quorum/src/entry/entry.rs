use {
    super::Payload,
    serde::{Deserialize, Serialize},
};

/// Bytes counted for an entry in addition to its payload.
const ENTRY_OVERHEAD_BYTES: usize = 32;

/// Entry of the replicated log.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Entry {
    /// Position in the log; the first entry has index 1.
    pub index: u64,
    /// Term of the leader that created the entry; 0 for the member list of a new group.
    pub term: u64,
    /// Command, member list or nothing.
    pub payload: Payload,
}

impl Entry {
    /// Approximate size in bytes, used for batching and flow control.
    pub fn size(&self) -> usize {
        ENTRY_OVERHEAD_BYTES
            + match &self.payload {
                Payload::Empty => 0,
                Payload::Command(command) => command.len(),
                Payload::Members(members) => members.all().len() * size_of::<crate::Member>(),
            }
    }
}

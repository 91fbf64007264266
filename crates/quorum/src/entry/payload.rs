use {
    crate::Members,
    serde::{Deserialize, Serialize},
};

/// Content of an [`Entry`](super::Entry).
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Payload {
    /// Appended by a new leader, because only an entry of its own term commits those of earlier
    /// terms.
    Empty,
    /// A serialized command for the state machine.
    Command(Vec<u8>),
    /// A member list. Each replica uses it as soon as the entry is in its log, committed or not.
    Members(Members),
}

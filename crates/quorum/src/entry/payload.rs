use {
    crate::Members,
    serde::{Deserialize, Serialize},
};

/// Content of an [`Entry`](super::Entry).
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Payload {
    /// Appended by a new leader to commit the entries of earlier terms.
    Empty,
    /// A command of the state machine.
    Command(Vec<u8>),
    /// A member list, in force at each replica as soon as the entry is in its log.
    Members(Members),
}

use {
    super::Body,
    serde::{Deserialize, Serialize},
};

/// Message between two replicas of a group.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Message {
    /// Term of the sender.
    pub term: u64,
    /// Incarnation of the sender's disk.
    pub sender: u64,
    /// Incarnation of the receiver's disk. A replica with the same id and another incarnation
    /// ignores the message.
    pub target: u64,
    /// Request, reply or data.
    pub body: Body,
}

use {
    super::Body,
    serde::{Deserialize, Serialize},
};

/// A message between two replicas.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Message {
    /// Term of the sender.
    pub term: u64,
    /// Incarnation of the sender's disk.
    #[serde(rename = "sender")]
    pub sender_incarnation: u64,
    /// Incarnation the message is meant for; another disk under the same id ignores it.
    #[serde(rename = "target")]
    pub target_incarnation: u64,
    /// Content.
    pub body: Body,
}

use serde::{Deserialize, Serialize};

/// A replica, identified by an instance and one particular disk of it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Member {
    /// Id of the instance.
    pub id: u64,
    /// Random identity of the disk, written when the disk is first used. A new disk makes a new
    /// member.
    pub incarnation: u64,
}

use {
    crate::{Entry, Hard, Members, Payload, Snapshot},
    serde::{Deserialize, Serialize},
};

/// What the disk holds when a replica starts.
///
/// The driver loads it and starts the state machine from `snapshot`, or empty without one.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Stable {
    /// Random identity of this disk, drawn and synced when the disk is first used.
    pub incarnation: u64,
    /// Term and vote.
    pub hard: Hard,
    /// Latest snapshot.
    pub snapshot: Option<Snapshot>,
    /// The log, contiguous. May start before the snapshot's index, not after the entry that follows it.
    pub entries: Vec<Entry>,
}

impl Stable {
    /// An empty disk. The replica waits until a leader adds it as a learner.
    pub fn empty(incarnation: u64) -> Stable {
        Stable {
            incarnation,
            ..Stable::default()
        }
    }

    /// The first disk content of a new group; the driver stores and syncs it before the first start.
    ///
    /// Every replica that starts this way must be given the same members.
    pub fn bootstrap(incarnation: u64, members: Members) -> Stable {
        Stable {
            entries: vec![Entry {
                index: 1,
                term: 0,
                payload: Payload::Members(members),
            }],
            ..Stable::empty(incarnation)
        }
    }
}

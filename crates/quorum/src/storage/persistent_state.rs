use {
    crate::{Entry, HardState, Members, Payload, Snapshot},
    serde::{Deserialize, Serialize},
};

/// What the disk holds when a replica starts.
///
/// The driver loads it and starts the state machine from `snapshot`, or empty without one.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct PersistentState {
    /// Random identity of this disk, drawn and synced when the disk is first used.
    pub incarnation: u64,
    /// Term and vote.
    #[serde(rename = "hard")]
    pub hard_state: HardState,
    /// Latest snapshot.
    pub snapshot: Option<Snapshot>,
    /// The log, contiguous. May start before the snapshot's index, not after the entry that follows it.
    pub entries: Vec<Entry>,
}

impl PersistentState {
    /// An empty disk. The replica waits until a leader adds it as a learner.
    pub fn empty(incarnation: u64) -> PersistentState {
        PersistentState {
            incarnation,
            ..PersistentState::default()
        }
    }

    /// The first disk content of a new group; the driver stores and syncs it before the first start.
    ///
    /// Every replica that starts this way must be given the same members.
    pub fn bootstrap(incarnation: u64, members: Members) -> PersistentState {
        PersistentState {
            entries: vec![Entry {
                index: 1,
                term: 0,
                payload: Payload::Members(members),
            }],
            ..PersistentState::empty(incarnation)
        }
    }
}

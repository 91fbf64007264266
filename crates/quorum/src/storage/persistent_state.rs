use {
    crate::{Entry, HardState, Members, Payload, Snapshot},
    serde::{Deserialize, Serialize},
};

/// Contents of the disk when a replica starts.
///
/// The driver loads them and starts the state machine from `snapshot`, or empty without one.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct PersistentState {
    /// Random identity of this disk, generated and synced when the disk is first used.
    pub incarnation: u64,
    /// Hard state of Raft: term and vote. The default if none was stored.
    pub hard: HardState,
    /// Latest snapshot; `None` before the first one.
    pub snapshot: Option<Snapshot>,
    /// The log, without a gap. It may start at or before the entry that follows the snapshot, not
    /// later.
    pub entries: Vec<Entry>,
}

impl PersistentState {
    /// Returns the contents of an empty disk. The replica waits until a leader adds it as a
    /// learner.
    pub fn empty(incarnation: u64) -> PersistentState {
        PersistentState {
            incarnation,
            ..PersistentState::default()
        }
    }

    /// Returns the initial contents for a member of a new group. The driver stores and syncs them
    /// before the first start.
    ///
    /// All replicas that start this way must be given the same members.
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

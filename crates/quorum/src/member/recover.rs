use {
    super::Members,
    crate::{Entry, HardState, Member, Payload, PersistentState},
};

/// Makes a replica the only member of its group, for a group that has lost its quorum for good.
///
/// Returns the hard state to store and the entry to append to the stored log. Committed commands
/// that are not in this log are lost. The caller must make sure that no other replica of the group
/// runs or ever returns with its old disk, because the old voters could still form a quorum of the
/// old list.
pub fn recover_lost_quorum(id: u64, persistent: &PersistentState) -> (HardState, Entry) {
    let (last_index, last_term) = match (persistent.entries.last(), &persistent.snapshot) {
        (Some(entry), _) => (entry.index, entry.term),
        (None, Some(snapshot)) => (snapshot.index, snapshot.term),
        (None, None) => (0, 0),
    };
    let term = persistent.hard.term.max(last_term) + 1;
    let hard_state = HardState { term, vote: None };
    let survivor = Member {
        id,
        incarnation: persistent.incarnation,
    };
    let entry = Entry {
        index: last_index + 1,
        term,
        payload: Payload::Members(Members::new([survivor])),
    };
    (hard_state, entry)
}

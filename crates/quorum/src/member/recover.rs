use {
    super::Members,
    crate::{Entry, HardState, Member, Payload, PersistentState},
};

/// Rewrites the member list of a replica whose group has lost its quorum for good, so that the replica
/// alone forms the group.
///
/// Returns the hard state to store and the entry to append after the stored log. Commands committed
/// by the lost members that are not in this log are lost. The caller must make sure that no other
/// replica of the group runs or ever returns with its old disk: the old voters could still form a
/// quorum of the old list.
pub fn recover_lost_quorum(id: u64, persistent: &PersistentState) -> (HardState, Entry) {
    let (last_index, last_term) = match (persistent.entries.last(), &persistent.snapshot) {
        (Some(entry), _) => (entry.index, entry.term),
        (None, Some(snapshot)) => (snapshot.index, snapshot.term),
        (None, None) => (0, 0),
    };
    let term = persistent.hard_state.term.max(last_term) + 1;
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

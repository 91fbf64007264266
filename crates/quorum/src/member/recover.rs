use {
    super::Members,
    crate::{Entry, Hard, Member, Payload, Stable},
};

/// Rewrites the member list of a replica whose group has lost its quorum for good, so that the replica
/// alone forms the group.
///
/// Returns the hard state to store and the entry to append after the stored log. Commands committed
/// by the lost members that are not in this log are lost. The caller must make sure that no other
/// replica of the group runs or ever returns with its old disk: the old voters could still form a
/// quorum of the old list.
pub fn recover(id: u64, stable: &Stable) -> (Hard, Entry) {
    let (last_index, last_term) = match (stable.entries.last(), &stable.snapshot) {
        (Some(entry), _) => (entry.index, entry.term),
        (None, Some(snapshot)) => (snapshot.index, snapshot.term),
        (None, None) => (0, 0),
    };
    let term = stable.hard.term.max(last_term) + 1;
    let hard = Hard { term, vote: None };
    let survivor = Member {
        id,
        incarnation: stable.incarnation,
    };
    let entry = Entry {
        index: last_index + 1,
        term,
        payload: Payload::Members(Members::new([survivor])),
    };
    (hard, entry)
}

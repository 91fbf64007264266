/// An entry of the log.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Entry {
    /// Position in the log, from 1.
    pub index: u64,
    /// Term in which it was proposed.
    pub term: u64,
    /// Content, opaque to the store.
    pub bytes: Vec<u8>,
}

/// State that replaces the log up to an index.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Snapshot {
    /// Index of the last entry that it covers.
    pub index: u64,
    /// Term of that entry.
    pub term: u64,
    /// Content, opaque to the store.
    pub bytes: Vec<u8>,
}

/// Everything that a store holds.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Contents {
    /// The last hard state that was set.
    pub hard: Option<Vec<u8>>,
    /// The newest snapshot.
    pub snapshot: Option<Snapshot>,
    /// The entries after the snapshot, without gaps.
    pub entries: Vec<Entry>,
}

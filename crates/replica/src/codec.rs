//! Encoding of the consensus state on disk.

use {
    super::Error,
    quorum::{Entry, HardState, Members, Payload, PersistentState, Snapshot},
};

/// Appends entries to the store. They are durable after the next sync of the store.
pub fn append_entries(store: &mut disk::Store, entries: &[Entry]) -> Result<(), Error> {
    let payloads = entries
        .iter()
        .map(|entry| postcard::to_stdvec(&entry.payload))
        .collect::<Result<Vec<_>, _>>()?;
    let records = entries
        .iter()
        .zip(&payloads)
        .map(|(entry, payload)| (entry.index, entry.term, payload.as_slice()));
    store.append(records)?;
    Ok(())
}

/// Encodes the term and vote for [`disk::Store::set_hard`].
pub fn encode_hard_state(hard_state: &HardState) -> Result<Vec<u8>, Error> {
    Ok(postcard::to_stdvec(hard_state)?)
}

/// Encodes the member list and the data of a snapshot. Its index and term are stored by [`disk::Store`].
pub fn encode_snapshot(snapshot: &Snapshot) -> Result<Vec<u8>, Error> {
    Ok(postcard::to_stdvec(&(&snapshot.members, &snapshot.data))?)
}

/// Decodes the contents of the disk into the state from which a replica starts.
pub fn decode_state(incarnation: u64, contents: disk::Contents) -> Result<PersistentState, Error> {
    let hard_state = match contents.hard {
        Some(bytes) => postcard::from_bytes(&bytes)?,
        None => HardState::default(),
    };
    let snapshot = match contents.snapshot {
        Some(stored) => {
            let (members, data): (Members, Vec<u8>) = postcard::from_bytes(&stored.bytes)?;
            Some(Snapshot {
                index: stored.index,
                term: stored.term,
                members,
                data,
            })
        }
        None => None,
    };
    let mut entries = Vec::with_capacity(contents.entries.len());
    for stored in contents.entries {
        let payload: Payload = postcard::from_bytes(&stored.bytes)?;
        entries.push(Entry {
            index: stored.index,
            term: stored.term,
            payload,
        });
    }
    Ok(PersistentState {
        incarnation,
        hard: hard_state,
        snapshot,
        entries,
    })
}

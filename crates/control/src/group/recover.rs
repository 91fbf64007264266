use {
    super::Error,
    crate::state::State,
    quorum::{Member, Members, Payload, PersistentState},
    replica::codec,
};

/// What the disk of a replica that does not run holds of its group.
#[derive(Clone, Debug)]
pub struct Held {
    /// The replica.
    pub member: Member,
    /// Last entry of the log.
    pub last_index: u64,
    /// Term of that entry.
    pub last_term: u64,
    /// Term that the replica has reached.
    pub term: u64,
    /// Latest member list in the log, committed or not.
    pub members: Members,
    /// Number of the configuration with every entry of the log applied.
    pub number: u64,
    /// Jobs that have not ended, with every entry of the log applied.
    pub open_jobs: usize,
    /// Claims kept, with every entry of the log applied.
    pub claims: usize,
}

/// A replica's disk, opened for the repair of a group that has lost its quorum for good.
pub struct Recovery {
    id: u64,
    store: disk::Store,
    stable: PersistentState,
    held: Held,
}

impl Recovery {
    /// Opens the disk; fails while a process uses it.
    pub fn open(folder: &disk::Folder, group: &str, id: u64) -> Result<Recovery, Error> {
        let (store, contents) = disk::Store::open(folder, group)?;
        let stable = codec::decode_state(folder.incarnation(), contents)?;
        let held = read(id, &stable)?;
        Ok(Recovery {
            id,
            store,
            stable,
            held,
        })
    }

    /// What the replica holds; compared by operators before they choose the survivor.
    pub fn held(&self) -> &Held {
        &self.held
    }

    /// Makes this replica the only member of its group. Entries that are only on other disks are lost.
    ///
    /// No other replica of the group may run or ever return with its old disk.
    pub fn rewrite(mut self) -> Result<(), Error> {
        let (hard, entry) = quorum::recover_lost_quorum(self.id, &self.stable);
        self.store.set_hard(&codec::encode_hard_state(&hard)?)?;
        codec::append_entries(&mut self.store, &[entry])?;
        self.store.sync()?;
        Ok(())
    }
}

fn read(id: u64, stable: &PersistentState) -> Result<Held, Error> {
    let state = State::default();
    let (mut last_index, mut last_term) = (0, 0);
    let mut members = Members::default();
    if let Some(snapshot) = &stable.snapshot {
        state
            .restore(&snapshot.data)
            .map_err(|error| Error::State(error.to_string()))?;
        (last_index, last_term) = (snapshot.index, snapshot.term);
        members = snapshot.members.clone();
    }
    for entry in stable.entries.iter().filter(|e| e.index > last_index) {
        match &entry.payload {
            Payload::Command(command) => drop(state.apply(command)),
            Payload::Members(list) => members = list.clone(),
            _ => {}
        }
    }
    if let Some(last) = stable.entries.last().filter(|e| e.index > last_index) {
        (last_index, last_term) = (last.index, last.term);
    }
    let open_jobs = state
        .jobs()
        .iter()
        .filter(|job| !job.state.is_end())
        .count();
    let number = state.book().config().number;
    let claims = state.claims().len();
    Ok(Held {
        member: Member {
            id,
            incarnation: stable.incarnation,
        },
        last_index,
        last_term,
        term: stable.hard.term,
        members,
        number,
        open_jobs,
        claims,
    })
}

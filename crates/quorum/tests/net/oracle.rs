use {
    super::{StateMachine, linearizability::Operation},
    quorum::{Entry, Member, Members, Payload, PersistentState},
    std::collections::{BTreeMap, HashMap, HashSet},
};

/// Observations of all replicas and clients so far, checked against each other.
#[derive(Default)]
pub struct Oracle {
    /// Every entry that any replica has applied, by index.
    pub log: BTreeMap<u64, Entry>,
    /// Index of each applied command, by its new value, which is its request id.
    pub commands: HashMap<u64, u64>,
    /// Leader of each term.
    pub leaders: HashMap<u64, Member>,
    /// Ids of the requests whose clients were told that they were not run.
    pub refused: HashSet<u64>,
    /// Highest index that an answer has shown to a client.
    pub shown_index: u64,
    /// Operations of all clients, for the linearizability check.
    pub history: Vec<Operation>,
    /// Index of the latest applied member list, and that list.
    pub members: (u64, Members),
}

impl Oracle {
    /// Checks an entry that a replica applies: in order, equal on all replicas, each command once.
    pub fn check_applied(&mut self, entry: &Entry, machine: &StateMachine) -> Result<(), String> {
        if entry.index != machine.applied + 1 {
            return Err(format!("applied {} after {}", entry.index, machine.applied));
        }
        if let Some(known) = self.log.get(&entry.index) {
            if known != entry {
                return Err(format!("applied logs differ: {known:?} and {entry:?}"));
            }
            return Ok(());
        }
        self.log.insert(entry.index, entry.clone());
        match &entry.payload {
            Payload::Command(command) => {
                let mut state_machine = StateMachine::default();
                state_machine.apply(entry);
                let new = state_machine.commands[0];
                if let Some(first) = self.commands.insert(new, entry.index) {
                    return Err(format!(
                        "command {new} {command:?} applied twice, first at {first}"
                    ));
                }
                if self.refused.contains(&new) {
                    return Err(format!(
                        "command {new} was reported as not run and was applied"
                    ));
                }
            }
            Payload::Members(members) if entry.index > self.members.0 => {
                self.members = (entry.index, members.clone());
            }
            _ => {}
        }
        Ok(())
    }

    /// Checks that the state of a replica is the result of the applied entries up to its index.
    pub fn check_state(&self, machine: &StateMachine) -> Result<(), String> {
        let mut expected: Vec<_> = self
            .commands
            .iter()
            .filter(|(_, index)| **index <= machine.applied)
            .collect();
        expected.sort_unstable_by_key(|(_, index)| **index);
        let same = expected
            .iter()
            .map(|(new, _)| **new)
            .eq(machine.commands.iter().copied());
        if same {
            Ok(())
        } else {
            Err(format!("state at {} differs", machine.applied))
        }
    }

    /// Checks that the term has no other leader.
    pub fn check_leader(&mut self, term: u64, member: Member) -> Result<(), String> {
        let first = *self.leaders.entry(term).or_insert(member);
        if first == member {
            return Ok(());
        }
        Err(format!(
            "two leaders in term {term}: {first:?} and {member:?}"
        ))
    }

    pub fn elections(&self) -> usize {
        self.leaders.len()
    }

    /// Checks that a new voter holds all entries that were committed when its promotion was
    /// proposed.
    pub fn check_promoted(&self, disk: &PersistentState, committed: u64) -> Result<(), String> {
        let snapshot_index = disk.snapshot.as_ref().map_or(0, |snapshot| snapshot.index);
        let held = |(index, entry): (&u64, &Entry)| {
            *index <= snapshot_index || disk.entries.iter().any(|stored| stored == entry)
        };
        match self.log.range(..=committed).find(|known| !held(*known)) {
            Some((index, _)) => Err(format!("promoted without entry {index} of {committed}")),
            None => Ok(()),
        }
    }
}

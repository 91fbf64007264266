//! A group of three replicas, of which the leader's disk is full.

use {
    disk::fs::Memory,
    model::clock::System,
    quorum::{Member, Members, Settings},
    replica::{Group, Setup, StateMachine, Transport},
    std::{
        collections::BTreeSet,
        sync::{Arc, Mutex},
        thread,
        time::{Duration, Instant},
    },
    wire::Verdict,
};

/// Far above what any condition needs, so that a slow machine does not change the verdict.
const LIMIT: Duration = Duration::from_secs(60);

/// Delivers messages to the replicas of this process, in the order of their ids from 1 on.
#[derive(Clone, Default)]
struct Local {
    groups: Arc<Mutex<Vec<Group>>>,
}

/// The sending side of one replica.
struct Sender {
    id: u64,
    local: Local,
}

impl Transport for Sender {
    fn deliver(&self, to: u64, _: &str, messages: Vec<Vec<u8>>) {
        let group = self
            .local
            .groups
            .lock()
            .unwrap()
            .get(to as usize - 1)
            .cloned();
        if let Some(group) = group {
            group.deliver(self.id, messages);
        }
    }
}

/// Answers each command with itself.
struct Echo;

impl StateMachine for Echo {
    fn apply(&self, command: &[u8], _: bool) -> Result<Vec<u8>, String> {
        Ok(command.to_vec())
    }

    fn save(&self) -> Result<Vec<u8>, String> {
        Ok(Vec::new())
    }

    fn restore(&self, _: &[u8]) -> Result<(), String> {
        Ok(())
    }
}

fn until(what: &str, mut satisfied: impl FnMut() -> bool) {
    let start = Instant::now();
    while !satisfied() {
        assert!(start.elapsed() < LIMIT, "not seen: {what}");
        thread::sleep(Duration::from_millis(5));
    }
}

fn leader(groups: &[Group]) -> Option<usize> {
    groups.iter().position(Group::leads)
}

fn propose(group: &Group) -> Verdict {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .build()
        .unwrap();
    runtime.block_on(group.propose(vec![7; 100]))
}

/// Guards against a leader that goes on leading while its full disk makes it refuse everything: with one full disk of
/// five, no job was accepted or started for 4.5 s.
#[test]
fn a_leader_with_a_full_disk_hands_over() {
    let disks: Vec<Memory> = (0..3).map(|_| Memory::new()).collect();
    let folders: Vec<disk::Folder> = disks
        .iter()
        .map(|memory| disk::Folder::open_on(Arc::new(memory.clone()), "data").unwrap())
        .collect();
    let members = folders.iter().zip(1..).map(|(folder, id)| Member {
        id,
        incarnation: folder.incarnation(),
    });
    let members = Members::new(members.collect::<Vec<_>>());
    let local = Local::default();
    for (folder, id) in folders.iter().zip(1..) {
        let setup = Setup {
            name: "work".into(),
            id,
            settings: Settings::default(),
            clock: Arc::new(System),
            transport: Arc::new(Sender {
                id,
                local: local.clone(),
            }),
            state_machine: Arc::new(Echo),
            initial_members: Some(members.clone()),
        };
        let group = Group::spawn(folder, setup).unwrap();
        local.groups.lock().unwrap().push(group);
    }
    let groups = local.groups.lock().unwrap().clone();
    let accepts = |at: usize| matches!(propose(&groups[at]), Verdict::Answer(_));
    until("a leader that accepts", || {
        leader(&groups).is_some_and(accepts)
    });
    // The leader writes nothing more until the next command.
    until("the same state everywhere", || {
        let applied = groups.iter().map(|group| group.view().applied_index);
        applied.collect::<BTreeSet<u64>>().len() == 1
    });
    let first = leader(&groups).unwrap();
    disks[first].set_capacity(Some(disks[first].used()));
    let verdict = propose(&groups[first]);
    assert!(matches!(verdict, Verdict::NotRun(_)), "{verdict:?}");
    until("another leader that accepts", || {
        let other = leader(&groups).filter(|other| *other != first);
        other.is_some_and(accepts)
    });
    for group in &groups {
        group.stop();
    }
}

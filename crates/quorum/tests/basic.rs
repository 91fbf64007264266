//! Elections and replication among three replicas without faults.

use {
    quorum::{Effect, Event, Member, Members, Node, Outcome, Payload, Settings, Stable},
    std::time::{Duration, Instant},
};

/// Replicas whose effects are performed at once and without loss.
struct Group {
    nodes: Vec<Node>,
    applied: Vec<Vec<Vec<u8>>>,
    done: Vec<(u64, Outcome)>,
    now: Instant,
}

impl Group {
    fn new() -> Group {
        let members = Members::new((1..=3).map(|id| Member {
            id,
            incarnation: 10 + id,
        }));
        let now = Instant::now();
        let nodes = (1..=3).map(|id| {
            let stable = Stable::bootstrap(10 + id, members.clone());
            Node::new(id, Settings::default(), stable, id, now)
        });
        Group {
            nodes: nodes.collect(),
            applied: vec![Vec::new(); 3],
            done: Vec::new(),
            now,
        }
    }

    fn step(&mut self, at: usize, event: Event) {
        let mut work = vec![(at, event)];
        while !work.is_empty() {
            let (at, event) = work.remove(0);
            for effect in self.nodes[at].step(event, self.now) {
                match effect {
                    Effect::Persist { entries, .. } => {
                        if let Some(last) = entries.last() {
                            work.push((at, Event::Synced { index: last.index }));
                        }
                    }
                    Effect::Send { to, message } => {
                        let from = at as u64 + 1;
                        work.push((to as usize - 1, Event::Message { from, message }));
                    }
                    Effect::Apply { entry } => {
                        if let Payload::Command(command) = entry.payload {
                            self.applied[at].push(command);
                        }
                    }
                    Effect::Done { ticket, outcome } => self.done.push((ticket, outcome)),
                    Effect::Restore { .. } | Effect::Save { .. } => {}
                }
            }
        }
    }

    fn run(&mut self, time: Duration) {
        let end = self.now + time;
        while self.now < end {
            self.now += Duration::from_millis(10);
            (0..3).for_each(|at| self.step(at, Event::Tick));
        }
    }

    fn leader(&self) -> Option<usize> {
        self.nodes.iter().position(Node::is_leader)
    }
}

/// Guards against a group that elects no leader, or more than one, without any fault.
#[test]
fn elects_one_leader() {
    let mut group = Group::new();
    group.run(Duration::from_secs(3));
    assert_eq!(
        group.nodes.iter().filter(|node| node.is_leader()).count(),
        1
    );
    let leader = group.nodes[0].leader();
    assert!(leader.is_some());
    assert!(group.nodes.iter().all(|node| node.leader() == leader));
}

/// Guards against commands that are acknowledged but not applied everywhere, or out of order.
#[test]
fn replicates_commands_in_order() {
    let mut group = Group::new();
    group.run(Duration::from_secs(3));
    let leader = group.leader().expect("a leader");
    let commands: Vec<Vec<u8>> = (0..100u8).map(|number| vec![number]).collect();
    for (ticket, command) in commands.iter().enumerate() {
        let ticket = ticket as u64;
        group.step(
            leader,
            Event::Propose {
                ticket,
                command: command.clone(),
            },
        );
    }
    group.run(Duration::from_secs(1));
    assert_eq!(group.done.len(), 100);
    assert!(
        group
            .done
            .iter()
            .all(|(_, outcome)| matches!(outcome, Outcome::Committed { .. }))
    );
    assert!(group.applied.iter().all(|applied| *applied == commands));
}

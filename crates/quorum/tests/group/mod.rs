//! Group of replicas in memory that performs effects at once and can isolate replicas.

// Each test file uses a part of this module.
#![allow(dead_code)]

use {
    quorum::{
        Body, Effect, Entry, Event, Member, Members, Message, Node, Outcome, Payload,
        PersistentState, Settings, Snapshot,
    },
    std::{
        collections::{HashSet, VecDeque},
        time::{Duration, Instant},
    },
};

pub struct Group {
    pub nodes: Vec<Node>,
    /// Commands applied by each replica since its start.
    pub applied: Vec<Vec<Vec<u8>>>,
    pub installed_snapshots: Vec<Snapshot>,
    /// Request id and outcome of each finished request.
    pub outcomes: Vec<(u64, Outcome)>,
    /// Sender, receiver and body of every message, also of lost ones.
    pub sent_messages: Vec<(usize, usize, Body)>,
    /// Replicas whose messages are lost in both directions.
    pub isolated: HashSet<usize>,
    pub now: Instant,
}

pub fn member(id: u64) -> Member {
    Member {
        id,
        incarnation: 10 + id,
    }
}

pub fn entry(index: u64, term: u64) -> Entry {
    Entry {
        index,
        term,
        payload: Payload::Command(vec![term as u8; 8]),
    }
}

impl Group {
    pub fn new(settings: Settings) -> Group {
        let members = Members::new((1..=3).map(member));
        let disk_contents = (1..=3).map(|id| PersistentState::bootstrap(10 + id, members.clone()));
        Group::start(settings, disk_contents.collect())
    }

    pub fn start(settings: Settings, disks: Vec<PersistentState>) -> Group {
        let now = Instant::now();
        let count = disks.len();
        let nodes = disks
            .into_iter()
            .zip(1..)
            .map(|(disk, id)| Node::new(id, settings.clone(), disk, id, now));
        Group {
            nodes: nodes.collect(),
            applied: vec![Vec::new(); count],
            installed_snapshots: Vec::new(),
            outcomes: Vec::new(),
            sent_messages: Vec::new(),
            isolated: HashSet::new(),
            now,
        }
    }

    pub fn step(&mut self, at: usize, event: Event) {
        let effects = self.nodes[at].step(event, self.now);
        self.perform(at, effects);
    }

    /// Performs effects, and those of the steps that follow from them, until nothing is left to do.
    pub fn perform(&mut self, at: usize, effects: Vec<Effect>) {
        let mut work: VecDeque<(usize, Event)> = VecDeque::new();
        self.perform_effects(at, effects, &mut work);
        while let Some((at, event)) = work.pop_front() {
            let effects = self.nodes[at].step(event, self.now);
            self.perform_effects(at, effects, &mut work);
        }
    }

    /// Performs the effects of one step; appends the events that follow to `work`.
    fn perform_effects(
        &mut self,
        at: usize,
        effects: Vec<Effect>,
        work: &mut VecDeque<(usize, Event)>,
    ) {
        for effect in effects {
            match effect {
                Effect::Persist { entries, .. } => {
                    let last = entries.last().map(|entry| entry.index);
                    work.extend(last.map(|index| (at, Event::Synced { index })));
                }
                Effect::Send { to, message } => self.transmit(at, to as usize - 1, message, work),
                Effect::Apply { entry } => {
                    if let Payload::Command(command) = entry.payload {
                        self.applied[at].push(command);
                    }
                }
                Effect::InstallSnapshot { snapshot } => {
                    work.push_back((
                        at,
                        Event::Synced {
                            index: snapshot.index,
                        },
                    ));
                    self.installed_snapshots.push(snapshot);
                }
                Effect::SaveSnapshot { .. } => {}
                Effect::Respond {
                    request_id,
                    outcome,
                } => self.outcomes.push((request_id, outcome)),
            }
        }
    }

    fn transmit(
        &mut self,
        at: usize,
        to: usize,
        message: Message,
        work: &mut VecDeque<(usize, Event)>,
    ) {
        self.sent_messages.push((at, to, message.body.clone()));
        if !self.isolated.contains(&at) && !self.isolated.contains(&to) && to < self.nodes.len() {
            work.push_back((
                to,
                Event::Message {
                    from: at as u64 + 1,
                    message,
                },
            ));
        }
    }

    /// Advances the clock by `time` with a tick of all replicas every 10 ms.
    pub fn run_for(&mut self, time: Duration) {
        let end = self.now + time;
        while self.now < end {
            self.now += Duration::from_millis(10);
            (0..self.nodes.len()).for_each(|at| self.step(at, Event::Tick));
        }
    }

    /// Runs until a replica leads with a lease; returns its position.
    pub fn wait_for_leader(&mut self) -> usize {
        for _ in 0..500 {
            self.run_for(Duration::from_millis(10));
            if let Some(leader) = self.nodes.iter().position(Node::is_leader) {
                return leader;
            }
        }
        panic!("no leader within 5 s");
    }

    pub fn propose(&mut self, at: usize, commands: impl IntoIterator<Item = Vec<u8>>) {
        for (request_id, command) in (1000..).zip(commands) {
            self.step(
                at,
                Event::Propose {
                    request_id,
                    command,
                },
            );
        }
    }

    /// Makes a request; returns its outcome if it ends without waiting.
    pub fn request(&mut self, at: usize, event: Event) -> Option<Outcome> {
        let finished = self.outcomes.len();
        self.step(at, event);
        self.outcomes.get(finished).map(|(_, outcome)| *outcome)
    }
}

use {
    super::{Client, Disk, MS, Operator, Oracle, Replica, operator::PERIOD, register},
    quorum::{Effect, Event, Fault, Member, Members, Message, Payload, PersistentState, Settings},
    rand::{RngExt, SeedableRng, rngs::StdRng},
    std::{
        collections::{BTreeMap, HashMap, HashSet},
        time::{Duration, Instant},
    },
};

/// Steps of one run after which it is taken for a message storm; runs need about 20,000.
const STEPS_MAX: u64 = 500_000;

/// Something that happens at a point of virtual time.
pub enum Item {
    Deliver {
        from: u64,
        to: u64,
        message: Message,
    },
    Request {
        to: usize,
        event: Event,
    },
    Tick {
        at: usize,
        epoch: u64,
    },
    Disk {
        at: usize,
        epoch: u64,
    },
    Call {
        client: usize,
    },
    Expire {
        client: usize,
        request_id: u64,
    },
    Operate,
    Attack,
    Restart {
        at: usize,
    },
    Lose {
        at: usize,
    },
    Isolate {
        at: usize,
        time: u64,
    },
    CalmNetwork,
    CalmDisk {
        at: usize,
    },
}

/// Counts that show what a run covered.
#[derive(Debug, Default, Clone, Copy)]
pub struct Stats {
    pub writes: u64,
    pub reads: u64,
    pub faults: u64,
    pub disks_lost: u64,
    pub promotions: u64,
    pub changes: u64,
    pub restores: u64,
    pub elections: u64,
    pub steps: u64,
    /// Longest time from the end of the faults to the first answer, in milliseconds.
    pub recovery_ms: u64,
}

pub struct World {
    pub rng: StdRng,
    /// Virtual time in microseconds.
    pub time: u64,
    queue: BTreeMap<(u64, u64), Item>,
    sequence: u64,
    pub replicas: Vec<Replica>,
    pub clients: Vec<Client>,
    pub operator: Operator,
    pub oracle: Oracle,
    /// The first stale read.
    pub stale: Option<String>,
    /// Directed pairs whose messages are dropped silently, and until when.
    pub blocked: HashMap<(u64, u64), u64>,
    pub loss: f64,
    pub delay: u64,
    pub last_request_id: u64,
    pub owners: HashMap<u64, usize>,
    pub ended: HashSet<u64>,
    pub faults_end: u64,
    pub calls_end: u64,
    pub stats: Stats,
    settings: Settings,
    fault: Option<Fault>,
}

/// Runs a group with faults, then without, and checks everything it has shown.
pub fn run(seed: u64, fault: Option<Fault>) -> Result<Stats, String> {
    let mut world = World::new(seed, fault);
    let end = world.calls_end + 2_000 * MS;
    let mut healed = false;
    while let Some(((time, _), item)) = world.queue.pop_first() {
        if !healed && time >= world.faults_end {
            world.heal();
            healed = true;
        }
        if time >= end {
            break;
        }
        world.time = time;
        world
            .handle(item)
            .map_err(|error| format!("{error} (at {} ms)", time / MS))?;
    }
    let linearizable = register::check(&world.oracle.history);
    if let Some(stale) = world.stale {
        return Err(format!("{stale}; history: {linearizable:?}"));
    }
    linearizable?;
    world.check_recovery()?;
    world.stats.elections = world.oracle.elections() as u64;
    let after = |record: &&register::Record| record.start >= world.faults_end;
    let answers = world
        .oracle
        .history
        .iter()
        .filter(after)
        .map(|record| record.end);
    world.stats.recovery_ms = answers
        .min()
        .unwrap_or(u64::MAX)
        .saturating_sub(world.faults_end)
        / MS;
    Ok(world.stats)
}

impl World {
    fn new(seed: u64, fault: Option<Fault>) -> World {
        let mut rng = StdRng::seed_from_u64(seed);
        let count = if rng.random_bool(0.7) { 3 } else { 5 };
        let incarnations: Vec<u64> = (0..count).map(|_| rng.random()).collect();
        let pairs = incarnations.iter().zip(1..);
        let members = Members::new(pairs.map(|(incarnation, id)| Member {
            id,
            incarnation: *incarnation,
        }));
        let base = Instant::now();
        let replicas = members.voters.iter().map(|member| {
            let persistent = PersistentState::bootstrap(member.incarnation, members.clone());
            Replica::new(member.id, Disk::new(persistent), base)
        });
        let oracle = Oracle {
            members: (1, members.clone()),
            ..Oracle::default()
        };
        let mut world = World {
            time: 0,
            queue: BTreeMap::new(),
            sequence: 0,
            replicas: replicas.collect(),
            clients: (0..4).map(|_| Client::default()).collect(),
            operator: Operator::default(),
            oracle,
            stale: None,
            blocked: HashMap::new(),
            loss: 0.0,
            delay: 10 * MS,
            last_request_id: 0,
            owners: HashMap::new(),
            ended: HashSet::new(),
            faults_end: 25_000 * MS,
            calls_end: 40_000 * MS,
            stats: Stats::default(),
            settings: Settings {
                max_batch_bytes: 256,
                max_inflight_bytes: 600,
                snapshot_chunk_bytes: 512,
                retained_entries: rng.random_range(0..10),
                ..Settings::default()
            },
            fault,
            rng,
        };
        (0..count).for_each(|at| world.restart(at));
        (0..4).for_each(|client| world.at(0, Item::Call { client }));
        world.at(PERIOD, Item::Operate);
        world.at(3_000 * MS, Item::Attack);
        world
    }

    /// Schedules an item.
    pub fn at(&mut self, delay: u64, item: Item) {
        self.sequence += 1;
        self.queue.insert((self.time + delay, self.sequence), item);
    }

    pub fn restart(&mut self, at: usize) {
        let replica = &mut self.replicas[at];
        if replica.node.is_none() {
            replica.start(self.settings.clone(), self.fault, &mut self.rng, self.time);
            let epoch = replica.epoch;
            self.at(0, Item::Tick { at, epoch });
        }
    }

    pub fn hand_over(&mut self, at: usize) -> Result<(), String> {
        let now = self.replicas[at].now(self.time);
        if self.replicas[at].paused <= self.time
            && let Some(node) = &mut self.replicas[at].node
        {
            let effects = node.transfer_leadership(None, now);
            self.perform(at, effects)?;
        }
        Ok(())
    }

    fn handle(&mut self, item: Item) -> Result<(), String> {
        let target = match &item {
            Item::Deliver { to, .. } => Some(*to as usize - 1),
            Item::Request { to, .. } => Some(*to),
            Item::Tick { at, .. } | Item::Disk { at, .. } => Some(*at),
            _ => None,
        };
        if let Some(target) = target
            && self.replicas[target].paused > self.time
        {
            let wait = self.replicas[target].paused - self.time + self.rng.random_range(0..MS);
            self.at(wait, item);
            return Ok(());
        }
        match item {
            Item::Deliver { from, to, message } => {
                if self.is_blocked(from, to) {
                    return Ok(());
                }
                return self.step(to as usize - 1, Event::Message { from, message });
            }
            Item::Request { to, event } => return self.step(to, event),
            Item::Tick { at, epoch } if epoch == self.replicas[at].epoch => {
                self.at(25 * MS, Item::Tick { at, epoch });
                return self.step(at, Event::Tick);
            }
            Item::Disk { at, epoch } if epoch == self.replicas[at].epoch => {
                return self.perform_disk(at);
            }
            Item::Tick { .. } | Item::Disk { .. } => {}
            Item::Call { client } => self.call(client),
            Item::Expire { client, request_id } => self.expire(client, request_id),
            Item::Operate => {
                self.at(PERIOD, Item::Operate);
                return self.operate();
            }
            Item::Attack if self.time < self.faults_end => {
                self.attack()?;
                let wait = self.rng.random_range(50..1_500) * MS;
                self.at(wait, Item::Attack);
            }
            Item::Attack => {}
            Item::Restart { at } => self.restart(at),
            Item::Lose { .. } | Item::Isolate { .. } if self.time >= self.faults_end => {}
            Item::Lose { at } => self.replace_disk(at),
            Item::Isolate { at, time } => self.isolate(at, time, true, true),
            Item::CalmNetwork => (self.loss, self.delay) = (0.0, 10 * MS),
            Item::CalmDisk { at } => self.replicas[at].latency = 2 * MS,
        }
        Ok(())
    }

    pub fn step(&mut self, at: usize, event: Event) -> Result<(), String> {
        let now = self.replicas[at].now(self.time);
        let Some(node) = &mut self.replicas[at].node else {
            return Ok(());
        };
        self.stats.steps += 1;
        if self.stats.steps > STEPS_MAX {
            return Err("message storm".to_owned());
        }
        let effects = node.step(event, now);
        if node.leader() == Some(node.member().id) {
            self.oracle.leads(node.term(), node.member())?;
        }
        self.perform(at, effects)
    }

    fn perform(&mut self, at: usize, effects: Vec<Effect>) -> Result<(), String> {
        for effect in effects {
            match effect {
                Effect::Send { to, message } => match self.replicas[at].disk.pending_barrier() {
                    Some(barrier) => self.replicas[at].held.push_back((barrier, to, message)),
                    None if self.transmit(at, to, message) => return Ok(()),
                    None => {}
                },
                Effect::Apply { entry } => self.apply(at, entry)?,
                Effect::Respond {
                    request_id,
                    outcome,
                } => self.answer(at, request_id, outcome)?,
                operation => {
                    if let Effect::InstallSnapshot { snapshot } = &operation {
                        self.stats.restores += 1;
                        self.replicas[at].machine = super::Machine::load(Some(snapshot));
                        self.oracle.loaded(&self.replicas[at].machine)?;
                    }
                    if self.replicas[at].disk.submit(operation) {
                        self.start_disk(at);
                    }
                }
            }
        }
        Ok(())
    }

    fn apply(&mut self, at: usize, entry: quorum::Entry) -> Result<(), String> {
        let machine = &mut self.replicas[at].machine;
        self.oracle.applied(&entry, machine)?;
        machine.apply(&entry);
        let (index, term) = (entry.index, entry.term);
        if matches!(entry.payload, Payload::Command(_)) && index.is_multiple_of(20) {
            let data = machine.save();
            self.at(
                0,
                Item::Request {
                    to: at,
                    event: Event::SnapshotTaken { index, term, data },
                },
            );
        }
        Ok(())
    }

    fn start_disk(&mut self, at: usize) {
        let replica = &self.replicas[at];
        let (epoch, latency) = (replica.epoch, replica.latency);
        let delay = self.rng.random_range(latency / 10..=latency);
        self.at(delay, Item::Disk { at, epoch });
    }

    /// Finishes the oldest disk operation and sends the messages that waited for it.
    fn perform_disk(&mut self, at: usize) -> Result<(), String> {
        let event = self.replicas[at].disk.perform();
        let performed = self.replicas[at].disk.performed();
        let epoch = self.replicas[at].epoch;
        while let Some((_, to, message)) = self.replicas[at]
            .held
            .pop_front_if(|(barrier, ..)| *barrier <= performed)
        {
            if self.transmit(at, to, message) {
                return Ok(());
            }
        }
        if self.replicas[at].disk.is_busy() {
            self.start_disk(at);
        }
        match event {
            Some(event) if epoch == self.replicas[at].epoch => self.step(at, event),
            _ => Ok(()),
        }
    }

    /// Puts a message on the network; returns whether the sender crashed right afterwards.
    fn transmit(&mut self, at: usize, to: u64, message: Message) -> bool {
        let from = at as u64 + 1;
        let copies = 1 + usize::from(self.rng.random_bool(0.02 + self.loss / 2.0));
        for _ in 0..copies {
            if !self.is_blocked(from, to) && !self.rng.random_bool(self.loss) {
                let delay = self.rng.random_range(500..self.delay);
                let late = if self.rng.random_bool(0.005) {
                    3_000 * MS
                } else {
                    0
                };
                self.at(
                    delay + late,
                    Item::Deliver {
                        from,
                        to,
                        message: message.clone(),
                    },
                );
            }
        }
        self.crash_after_answer(at, to, &message)
    }

    fn is_blocked(&self, from: u64, to: u64) -> bool {
        self.blocked
            .get(&(from, to))
            .is_some_and(|until| *until > self.time)
    }

    /// After the faults every member must have caught up and answered commands must be applied.
    fn check_recovery(&self) -> Result<(), String> {
        if self.operator.task.is_some() {
            return Err("a membership change did not finish after the faults".to_owned());
        }
        let last = self.oracle.log.keys().next_back().copied().unwrap_or(0);
        for replica in &self.replicas {
            if replica.machine.applied != last {
                return Err(format!(
                    "{} applied {} of {last}",
                    replica.id, replica.machine.applied
                ));
            }
            self.oracle.loaded(&replica.machine)?;
        }
        let late = self.calls_end - Duration::from_secs(1).as_micros() as u64;
        let answered = |record: &&register::Record| record.start > late && record.end != u64::MAX;
        if self.oracle.history.iter().filter(answered).count() == 0 {
            return Err("no operation was answered after the faults".to_owned());
        }
        Ok(())
    }
}

impl Stats {
    pub fn add(&mut self, other: &Stats) {
        self.writes += other.writes;
        self.reads += other.reads;
        self.faults += other.faults;
        self.disks_lost += other.disks_lost;
        self.promotions += other.promotions;
        self.changes += other.changes;
        self.restores += other.restores;
        self.elections += other.elections;
        self.steps += other.steps;
        self.recovery_ms = self.recovery_ms.max(other.recovery_ms);
    }
}

use {
    super::{
        Client, Disk, MS, NORMAL_DISK_LATENCY, Operator, Oracle, Replica, linearizability,
        operator::OPERATOR_INTERVAL,
    },
    quorum::{Effect, Event, Fault, Member, Members, Message, Payload, PersistentState, Settings},
    rand::{RngExt, SeedableRng, rngs::StdRng},
    std::{
        collections::{BTreeMap, HashMap, HashSet},
        time::{Duration, Instant},
    },
};

/// Number of steps after which a run fails as a message storm. A run takes about 20,000.
const MAX_STEPS: u64 = 500_000;

/// Longest delay of a message while the network has no fault.
pub const NORMAL_MAX_DELAY: u64 = 10 * MS;

/// Number of entries between two snapshots of a replica.
const SNAPSHOT_INTERVAL_ENTRIES: u64 = 20;

/// Event that is scheduled for a point in virtual time.
pub enum ScheduledEvent {
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
    DiskOperationEnd {
        at: usize,
        epoch: u64,
    },
    StartOperation {
        client: usize,
    },
    ClientTimeout {
        client: usize,
        request_id: u64,
    },
    OperatorStep,
    InjectFault,
    Restart {
        at: usize,
    },
    ReplaceDisk {
        at: usize,
    },
    Isolate {
        at: usize,
        time: u64,
    },
    ResetNetwork,
    ResetDisk {
        at: usize,
    },
}

/// Counters that show what a run has covered.
#[derive(Debug, Default, Clone, Copy)]
pub struct Stats {
    pub writes: u64,
    pub reads: u64,
    pub faults: u64,
    pub disks_lost: u64,
    /// Voters added by a leader, committed or not.
    pub promotions: u64,
    /// Tasks that the operator has finished.
    pub changes: u64,
    pub installed_snapshots: u64,
    pub elections: u64,
    pub steps: u64,
    /// Time from the end of the faults to the first answer to an operation that started after it,
    /// in milliseconds; the longest of all runs in a total.
    pub recovery_ms: u64,
}

/// A group of replicas with clients and an operator, driven by a queue of scheduled events.
pub struct Simulation {
    pub rng: StdRng,
    /// Virtual time in microseconds.
    pub time: u64,
    /// Scheduled events by time and sequence number.
    queue: BTreeMap<(u64, u64), ScheduledEvent>,
    sequence: u64,
    pub replicas: Vec<Replica>,
    pub clients: Vec<Client>,
    pub operator: Operator,
    pub oracle: Oracle,
    /// The first stale read.
    pub stale_read: Option<String>,
    /// Sender and receiver whose messages are dropped, and until when.
    pub blocked_links: HashMap<(u64, u64), u64>,
    /// Probability that a message is lost.
    pub loss_rate: f64,
    /// Longest delay of most messages, in microseconds; a few take 3 s longer.
    pub max_delay: u64,
    pub last_request_id: u64,
    /// Client that made each request.
    pub request_owners: HashMap<u64, usize>,
    pub ended_requests: HashSet<u64>,
    pub faults_end: u64,
    pub operations_end: u64,
    pub stats: Stats,
    settings: Settings,
    /// Protocol violation that all replicas commit.
    fault: Option<Fault>,
}

/// Runs a group with faults and then without, and checks all that it has applied and answered.
pub fn run(seed: u64, fault: Option<Fault>) -> Result<Stats, String> {
    let mut simulation = Simulation::new(seed, fault);
    let end = simulation.operations_end + 2_000 * MS;
    let mut healed = false;
    while let Some(((time, _), scheduled)) = simulation.queue.pop_first() {
        if !healed && time >= simulation.faults_end {
            simulation.heal();
            healed = true;
        }
        if time >= end {
            break;
        }
        simulation.time = time;
        simulation
            .handle(scheduled)
            .map_err(|error| format!("{error} (at {} ms)", time / MS))?;
    }
    let linearizable = linearizability::check(&simulation.oracle.history);
    if let Some(stale) = simulation.stale_read {
        return Err(format!("{stale}; history: {linearizable:?}"));
    }
    linearizable?;
    simulation.check_recovery()?;
    simulation.stats.elections = simulation.oracle.elections() as u64;
    let after = |operation: &&linearizability::Operation| operation.start >= simulation.faults_end;
    let answers = simulation
        .oracle
        .history
        .iter()
        .filter(after)
        .map(|operation| operation.end);
    simulation.stats.recovery_ms = answers
        .min()
        .unwrap_or(u64::MAX)
        .saturating_sub(simulation.faults_end)
        / MS;
    Ok(simulation.stats)
}

impl Simulation {
    fn new(seed: u64, fault: Option<Fault>) -> Simulation {
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
            let disk_contents = PersistentState::bootstrap(member.incarnation, members.clone());
            Replica::new(member.id, Disk::new(disk_contents), base)
        });
        let oracle = Oracle {
            members: (1, members.clone()),
            ..Oracle::default()
        };
        let mut simulation = Simulation {
            time: 0,
            queue: BTreeMap::new(),
            sequence: 0,
            replicas: replicas.collect(),
            clients: (0..4).map(|_| Client::default()).collect(),
            operator: Operator::default(),
            oracle,
            stale_read: None,
            blocked_links: HashMap::new(),
            loss_rate: 0.0,
            max_delay: NORMAL_MAX_DELAY,
            last_request_id: 0,
            request_owners: HashMap::new(),
            ended_requests: HashSet::new(),
            faults_end: 25_000 * MS,
            operations_end: 40_000 * MS,
            stats: Stats::default(),
            settings: Settings {
                term_interval: match fault {
                    None if seed % 2 == 1 => 1 << 32,
                    _ => 1,
                },
                max_batch_bytes: 256,
                max_inflight_bytes: 600,
                snapshot_chunk_bytes: 512,
                retained_entries: rng.random_range(0..10),
                ..Settings::default()
            },
            fault,
            rng,
        };
        (0..count).for_each(|at| simulation.restart(at));
        (0..4).for_each(|client| simulation.schedule(0, ScheduledEvent::StartOperation { client }));
        simulation.schedule(OPERATOR_INTERVAL, ScheduledEvent::OperatorStep);
        simulation.schedule(3_000 * MS, ScheduledEvent::InjectFault);
        simulation
    }

    /// Schedules an event after a delay in microseconds.
    pub fn schedule(&mut self, delay: u64, scheduled: ScheduledEvent) {
        self.sequence += 1;
        self.queue
            .insert((self.time + delay, self.sequence), scheduled);
    }

    pub fn restart(&mut self, at: usize) {
        let replica = &mut self.replicas[at];
        if replica.node.is_none() {
            replica.start(self.settings.clone(), self.fault, &mut self.rng, self.time);
            let epoch = replica.epoch;
            self.schedule(0, ScheduledEvent::Tick { at, epoch });
        }
    }

    pub fn transfer_leadership(&mut self, at: usize) -> Result<(), String> {
        let now = self.replicas[at].now(self.time);
        if self.replicas[at].paused_until <= self.time
            && let Some(node) = &mut self.replicas[at].node
        {
            let effects = node.transfer_leadership(None, now);
            self.perform(at, effects)?;
        }
        Ok(())
    }

    fn handle(&mut self, scheduled: ScheduledEvent) -> Result<(), String> {
        let target = match &scheduled {
            ScheduledEvent::Deliver { to, .. } => Some(*to as usize - 1),
            ScheduledEvent::Request { to, .. } => Some(*to),
            ScheduledEvent::Tick { at, .. } | ScheduledEvent::DiskOperationEnd { at, .. } => {
                Some(*at)
            }
            _ => None,
        };
        if let Some(target) = target
            && self.replicas[target].paused_until > self.time
        {
            let wait =
                self.replicas[target].paused_until - self.time + self.rng.random_range(0..MS);
            self.schedule(wait, scheduled);
            return Ok(());
        }
        match scheduled {
            ScheduledEvent::Deliver { from, to, message } => {
                if self.is_blocked(from, to) {
                    return Ok(());
                }
                return self.step(to as usize - 1, Event::Message { from, message });
            }
            ScheduledEvent::Request { to, event } => return self.step(to, event),
            ScheduledEvent::Tick { at, epoch } if epoch == self.replicas[at].epoch => {
                self.schedule(25 * MS, ScheduledEvent::Tick { at, epoch });
                return self.step(at, Event::Tick);
            }
            ScheduledEvent::DiskOperationEnd { at, epoch } if epoch == self.replicas[at].epoch => {
                return self.perform_disk(at);
            }
            ScheduledEvent::Tick { .. } | ScheduledEvent::DiskOperationEnd { .. } => {}
            ScheduledEvent::StartOperation { client } => self.start_operation(client),
            ScheduledEvent::ClientTimeout { client, request_id } => self.expire(client, request_id),
            ScheduledEvent::OperatorStep => {
                self.schedule(OPERATOR_INTERVAL, ScheduledEvent::OperatorStep);
                return self.operator_step();
            }
            ScheduledEvent::InjectFault if self.time < self.faults_end => {
                self.inject_random_fault()?;
                let wait = self.rng.random_range(50..1_500) * MS;
                self.schedule(wait, ScheduledEvent::InjectFault);
            }
            ScheduledEvent::InjectFault => {}
            ScheduledEvent::Restart { at } => self.restart(at),
            ScheduledEvent::ReplaceDisk { .. } | ScheduledEvent::Isolate { .. }
                if self.time >= self.faults_end => {}
            ScheduledEvent::ReplaceDisk { at } => self.replace_disk(at),
            ScheduledEvent::Isolate { at, time } => self.isolate(at, time, true, true),
            ScheduledEvent::ResetNetwork => {
                (self.loss_rate, self.max_delay) = (0.0, NORMAL_MAX_DELAY)
            }
            ScheduledEvent::ResetDisk { at } => {
                self.replicas[at].max_disk_latency = NORMAL_DISK_LATENCY
            }
        }
        Ok(())
    }

    pub fn step(&mut self, at: usize, event: Event) -> Result<(), String> {
        let now = self.replicas[at].now(self.time);
        let Some(node) = &mut self.replicas[at].node else {
            return Ok(());
        };
        self.stats.steps += 1;
        if self.stats.steps > MAX_STEPS {
            return Err("message storm".to_owned());
        }
        let effects = node.step(event, now);
        if node.leader() == Some(node.member().id) {
            self.oracle.check_leader(node.term(), node.member())?;
        }
        self.perform(at, effects)
    }

    fn perform(&mut self, at: usize, effects: Vec<Effect>) -> Result<(), String> {
        for effect in effects {
            match effect {
                Effect::Send { to, message } => match self.replicas[at].disk.pending_barrier() {
                    Some(barrier) => self.replicas[at]
                        .held_messages
                        .push_back((barrier, to, message)),
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
                        self.stats.installed_snapshots += 1;
                        self.replicas[at].state_machine = super::StateMachine::load(Some(snapshot));
                        self.oracle.check_state(&self.replicas[at].state_machine)?;
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
        let machine = &mut self.replicas[at].state_machine;
        self.oracle.check_applied(&entry, machine)?;
        machine.apply(&entry);
        let (index, term) = (entry.index, entry.term);
        if matches!(entry.payload, Payload::Command(_))
            && index.is_multiple_of(SNAPSHOT_INTERVAL_ENTRIES)
        {
            let data = machine.save();
            self.schedule(
                0,
                ScheduledEvent::Request {
                    to: at,
                    event: Event::SnapshotTaken { index, term, data },
                },
            );
        }
        Ok(())
    }

    fn start_disk(&mut self, at: usize) {
        let replica = &self.replicas[at];
        let (epoch, latency) = (replica.epoch, replica.max_disk_latency);
        let delay = self.rng.random_range(latency / 10..=latency);
        self.schedule(delay, ScheduledEvent::DiskOperationEnd { at, epoch });
    }

    /// Finishes the oldest disk operation and sends the messages that have waited for it.
    fn perform_disk(&mut self, at: usize) -> Result<(), String> {
        let event = self.replicas[at].disk.perform();
        let performed = self.replicas[at].disk.performed();
        let epoch = self.replicas[at].epoch;
        while let Some((_, to, message)) = self.replicas[at]
            .held_messages
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

    /// Sends a message, which may be lost, duplicated or delayed. Returns whether the sender
    /// crashed right afterwards.
    fn transmit(&mut self, at: usize, to: u64, message: Message) -> bool {
        let from = at as u64 + 1;
        let copies = 1 + usize::from(self.rng.random_bool(0.02 + self.loss_rate / 2.0));
        for _ in 0..copies {
            if !self.is_blocked(from, to) && !self.rng.random_bool(self.loss_rate) {
                let delay = self.rng.random_range(500..self.max_delay);
                let extra_delay = if self.rng.random_bool(0.005) {
                    3_000 * MS
                } else {
                    0
                };
                self.schedule(
                    delay + extra_delay,
                    ScheduledEvent::Deliver {
                        from,
                        to,
                        message: message.clone(),
                    },
                );
            }
        }
        self.crash_after_reply(at, to, &message)
    }

    fn is_blocked(&self, from: u64, to: u64) -> bool {
        self.blocked_links
            .get(&(from, to))
            .is_some_and(|until| *until > self.time)
    }

    /// Checks that all replicas have caught up after the faults, and that operations were answered.
    fn check_recovery(&self) -> Result<(), String> {
        if self.operator.task.is_some() {
            return Err("a membership change did not finish after the faults".to_owned());
        }
        let last = self.oracle.log.keys().next_back().copied().unwrap_or(0);
        for replica in &self.replicas {
            if replica.state_machine.applied != last {
                return Err(format!(
                    "replica {} applied {} of {last} entries",
                    replica.id, replica.state_machine.applied
                ));
            }
            self.oracle.check_state(&replica.state_machine)?;
        }
        let last_second_start = self.operations_end - Duration::from_secs(1).as_micros() as u64;
        let answered = |operation: &&linearizability::Operation| {
            operation.start > last_second_start && operation.end != u64::MAX
        };
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
        self.installed_snapshots += other.installed_snapshots;
        self.elections += other.elections;
        self.steps += other.steps;
        self.recovery_ms = self.recovery_ms.max(other.recovery_ms);
    }
}

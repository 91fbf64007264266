use {
    super::{Disk, MS, StateMachine},
    quorum::{Fault, Message, Node, Settings},
    rand::{RngExt, rngs::StdRng, seq::IndexedRandom},
    std::{
        collections::VecDeque,
        time::{Duration, Instant},
    },
};

/// Longest time of an operation of a disk without a fault.
pub const NORMAL_DISK_LATENCY: u64 = 2 * MS;

/// Simulated process with its disk and clock.
pub struct Replica {
    pub id: u64,
    pub disk: Disk,
    /// `None` while crashed.
    pub node: Option<Node>,
    pub state_machine: StateMachine,
    /// Number of crashes so far; events scheduled before a crash are dropped.
    pub epoch: u64,
    /// Virtual time until which the process is paused.
    pub paused_until: u64,
    /// Longest time of a disk operation, in microseconds of virtual time.
    pub max_disk_latency: u64,
    /// Messages that wait for a disk operation: its number, the receiver and the message.
    pub held_messages: VecDeque<(u64, u64, Message)>,
    /// Local time at the start of the simulation.
    clock_base: Instant,
    /// Speed of the local clock relative to virtual time.
    clock_rate: f64,
}

impl Replica {
    pub fn new(id: u64, disk: Disk, base: Instant) -> Replica {
        Replica {
            id,
            disk,
            node: None,
            state_machine: StateMachine::default(),
            epoch: 0,
            paused_until: 0,
            max_disk_latency: NORMAL_DISK_LATENCY,
            held_messages: VecDeque::new(),
            clock_base: base,
            clock_rate: 1.0,
        }
    }

    /// Starts the process. Its clock may run 4% too fast or too slow. The term interval of the settings holds for every
    /// other process, as in a group of two builds.
    pub fn start(&mut self, settings: Settings, fault: Option<Fault>, rng: &mut StdRng, time: u64) {
        self.clock_rate = *[0.96, 1.0, 1.04].choose(rng).unwrap_or(&1.0);
        let disk_contents = self.disk.contents.clone();
        self.state_machine = StateMachine::load(disk_contents.snapshot.as_ref());
        let term_interval = match (self.id + self.epoch).is_multiple_of(2) {
            true => settings.term_interval,
            false => 1,
        };
        let settings = Settings {
            term_interval,
            ..settings
        };
        let mut node = Node::new(
            self.id,
            settings,
            disk_contents,
            rng.random(),
            self.now(time),
        );
        node.inject_fault(fault);
        self.node = Some(node);
    }

    /// Ends the process. Only the first `kept` of the queued disk operations reach the disk.
    pub fn crash(&mut self, kept: usize) {
        self.node = None;
        self.epoch += 1;
        self.paused_until = 0;
        self.held_messages.clear();
        self.disk.crash(kept);
    }

    /// Reads the local clock.
    pub fn now(&self, time: u64) -> Instant {
        self.clock_base + Duration::from_micros((time as f64 * self.clock_rate) as u64)
    }

    pub fn leads(&self) -> bool {
        self.node
            .as_ref()
            .is_some_and(|node| node.leader() == Some(self.id))
    }
}

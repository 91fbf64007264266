use {
    super::{World, happening::Happening, start_memory::StartMemory},
    plan::engine::Engine,
    rand::{RngExt, SeedableRng, rngs::StdRng},
    std::time::{Duration, Instant},
    work::upstream::NumberedReport,
};

/// Interval at which the leader tells the others the open starts.
const TELL_INTERVAL: Duration = Duration::from_secs(1);

/// One way between two instances, in milliseconds.
const TRAVEL_MS: f64 = 4.0;

/// Range of the delays of messages that are late, in milliseconds.
const LATE_MS: std::ops::Range<f64> = 500.0..5000.0;

/// Distinguishes the draws of the group from those of the rest of the day.
const SEED_MASK: u64 = 0x6d65_6d62_6572_7300;

/// Instances of which one leads.
#[derive(Clone, Copy, Debug)]
pub struct Members {
    /// Their number.
    pub count: usize,
    /// Share of messages about open starts that are lost.
    pub lost: f64,
    /// Share of these messages that are late, so that others overtake them.
    pub late: f64,
}

/// The instances and what they remember.
#[derive(Debug)]
pub(super) struct Group {
    members: Members,
    memories: Vec<StartMemory>,
    /// Times in milliseconds until which instances stand still or are cut off from the others.
    away_until_ms: Vec<f64>,
    leader: usize,
    told_at: Option<Instant>,
    last_told: NumberedReport,
    rng: StdRng,
}

impl Group {
    pub fn new(members: Members, seed: u64) -> Group {
        Group {
            members,
            memories: vec![StartMemory::default(); members.count],
            away_until_ms: vec![0.0; members.count],
            leader: 0,
            told_at: None,
            last_told: NumberedReport::default(),
            rng: StdRng::seed_from_u64(seed ^ SEED_MASK),
        }
    }

    /// Lets another instance lead, one that is not away if there is one.
    fn change_leader(&mut self, now_ms: f64) {
        let others = (0..self.members.count).filter(|member| *member != self.leader);
        let others: Vec<usize> = others.collect();
        let is_here = |member: &&usize| self.away_until_ms[**member] <= now_ms;
        let here: Vec<usize> = others.iter().filter(is_here).copied().collect();
        let choice = if here.is_empty() { others } else { here };
        if !choice.is_empty() {
            self.leader = choice[self.rng.random_range(0..choice.len())];
        }
        self.told_at = None;
        self.last_told = NumberedReport::default();
    }

    /// Delays in milliseconds of the messages to the other instances that arrive.
    fn deliveries(&mut self, sender: usize) -> Vec<(usize, f64)> {
        let mut deliveries = Vec::new();
        for member in (0..self.members.count).filter(|member| *member != sender) {
            let draw: f64 = self.rng.random();
            let delay = match draw > 1.0 - self.members.late {
                true => self.rng.random_range(LATE_MS),
                false => TRAVEL_MS,
            };
            if draw >= self.members.lost {
                deliveries.push((member, delay));
            }
        }
        deliveries
    }
}

/// What the instances know of open starts.
impl World {
    /// The leader copies its report, and tells the others at an interval.
    pub(super) fn tell_members(&mut self, now: Instant) {
        let Some(group) = &mut self.group else {
            return;
        };
        let memory = &mut group.memories[group.leader];
        memory.copy(&self.engine, &self.book, self.term, now);
        let is_due = group.told_at.is_none_or(|at| now >= at + TELL_INTERVAL);
        let report = memory.latest().clone();
        let last = &group.last_told;
        if !is_due || (report.term == last.term && report.report == last.report) {
            return;
        }
        group.told_at = Some(now);
        group.last_told = report.clone();
        let leader = group.leader;
        self.tell_from(leader, &report);
    }

    fn tell_from(&mut self, sender: usize, report: &NumberedReport) {
        let deliveries = self.group.as_mut().map(|group| group.deliveries(sender));
        for (member, delay) in deliveries.unwrap_or_default() {
            let report = report.clone();
            self.at(self.now_ms + delay, Happening::Told { member, report });
        }
    }

    /// An instance that was replaced tells what it remembers once more, as if the message had been held up.
    pub(super) fn tell_again(&mut self, sender: usize) {
        let group = self.group.as_ref();
        if let Some(report) = group.map(|group| group.memories[sender].latest().clone()) {
            self.tell_from(sender, &report);
        }
    }

    pub(super) fn tell(&mut self, member: usize, report: NumberedReport) {
        let (now, now_ms) = (self.instant(), self.now_ms);
        let Some(group) = &mut self.group else {
            return;
        };
        let until_ms = group.away_until_ms[member];
        if until_ms > now_ms {
            self.at(until_ms + TRAVEL_MS, Happening::Told { member, report });
        } else if group.leader != member || self.is_vacant {
            group.memories[member].replace(report, now);
        }
    }

    /// The instance that leads.
    pub(super) fn leading_member(&self) -> usize {
        self.group.as_ref().map_or(0, |group| group.leader)
    }

    /// The instance that leads is away until a time in milliseconds.
    pub(super) fn keep_away(&mut self, until_ms: f64) {
        if let Some(group) = &mut self.group {
            group.away_until_ms[group.leader] = until_ms;
        }
    }

    /// Another instance leads; its engine begins with what it remembers.
    pub(super) fn hand_over(&mut self, engine: &mut Engine) {
        let now_ms = self.now_ms;
        match &mut self.group {
            Some(group) => {
                group.change_leader(now_ms);
                group.memories[group.leader].hand_over(engine);
            }
            None => {
                if let Some((report, at)) = &self.told_starts {
                    engine.inherit_starts(report, *at);
                }
            }
        }
    }

    /// All instances lose what they remember.
    pub(super) fn forget_starts(&mut self) {
        self.told_starts = None;
        self.told_speeds = None;
        if let Some(group) = &mut self.group {
            group.memories.fill(StartMemory::default());
        }
    }
}

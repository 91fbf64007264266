//! Measures steps per second and election times of three replicas in memory, without network or
//! disk delay. `docs/quorum.md` shows the results.

use {
    quorum::{Effect, Event, Member, Members, Node, Payload, PersistentState, Settings},
    std::{
        collections::VecDeque,
        time::{Duration, Instant},
    },
};

/// Interval of the ticks, a third of the heartbeat interval.
const TICK: Duration = Duration::from_millis(50);

/// Number of proposals in the throughput measurement.
const PROPOSALS: u64 = 200_000;

/// Number of entries between two snapshots of a replica.
const SNAPSHOT_INTERVAL_ENTRIES: u64 = 4_096;

/// Number of groups in the election measurement.
const GROUPS: u64 = 1_000;

struct Group {
    nodes: Vec<Node>,
    isolated: Option<usize>,
    now: Instant,
    steps: u64,
    applied: u64,
}

impl Group {
    fn new(seed: u64) -> Group {
        let members = Members::new((1..=3).map(|id| Member {
            id,
            incarnation: id,
        }));
        let now = Instant::now();
        let nodes = (1..=3).map(|id| {
            let persistent = PersistentState::bootstrap(id, members.clone());
            Node::new(id, Settings::default(), persistent, seed * 3 + id, now)
        });
        Group {
            nodes: nodes.collect(),
            isolated: None,
            now,
            steps: 0,
            applied: 0,
        }
    }

    fn step(&mut self, at: usize, event: Event) {
        let mut work = VecDeque::from([(at, event)]);
        while let Some((at, event)) = work.pop_front() {
            self.steps += 1;
            for effect in self.nodes[at].step(event, self.now) {
                match effect {
                    Effect::Persist { entries, .. } => {
                        let last = entries.last().map(|entry| entry.index);
                        work.extend(last.map(|index| (at, Event::Synced { index })));
                    }
                    Effect::Send { to, message } => {
                        let (to, from) = (to as usize - 1, at as u64 + 1);
                        if self.isolated != Some(at) && self.isolated != Some(to) {
                            work.push_back((to, Event::Message { from, message }));
                        }
                    }
                    Effect::Apply { entry } => {
                        self.applied += 1;
                        if entry.index.is_multiple_of(SNAPSHOT_INTERVAL_ENTRIES) {
                            let (index, term) = (entry.index, entry.term);
                            let data = Vec::new();
                            work.push_back((at, Event::SnapshotTaken { index, term, data }));
                        }
                        std::hint::black_box(matches!(entry.payload, Payload::Command(_)));
                    }
                    _ => {}
                }
            }
        }
    }

    /// Runs until a replica that is not isolated leads with a lease. Returns its position and the
    /// number of ticks.
    fn wait_for_leader(&mut self) -> (usize, u64) {
        let mut ticks = 0;
        loop {
            let leads = |at: &usize| self.isolated != Some(*at) && self.nodes[*at].is_leader();
            if let Some(leader) = (0..3).find(leads) {
                return (leader, ticks);
            }
            ticks += 1;
            self.now += TICK;
            (0..3).for_each(|at| self.step(at, Event::Tick));
        }
    }
}

fn main() {
    let mut group = Group::new(1);
    let (leader, _) = group.wait_for_leader();
    (group.steps, group.applied) = (0, 0);
    let start = Instant::now();
    for request_id in 0..PROPOSALS {
        group.step(
            leader,
            Event::Propose {
                request_id,
                command: vec![0; 100],
            },
        );
    }
    let seconds = start.elapsed().as_secs_f64();
    println!(
        "{PROPOSALS} proposals of 100 bytes, one at a time: {:.0} proposals/s, {:.0} steps/s",
        PROPOSALS as f64 / seconds,
        group.steps as f64 / seconds,
    );

    let mut ticks: Vec<u64> = (0..GROUPS)
        .map(|seed| {
            let mut group = Group::new(seed);
            let (leader, _) = group.wait_for_leader();
            group.isolated = Some(leader);
            group.wait_for_leader().1
        })
        .collect();
    ticks.sort_unstable();
    let at = |share: f64| ticks[((GROUPS - 1) as f64 * share) as usize];
    println!(
        "loss of the leader until the next lease, {GROUPS} groups, ticks of {TICK:?}: median {}, p99 \
         {}, max {}",
        at(0.5),
        at(0.99),
        at(1.0),
    );
}

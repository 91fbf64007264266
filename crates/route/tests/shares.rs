//! Fuzzing of the slot shares: under crashes and with messages lost, delayed or duplicated, the slots that
//! processes use or may use never exceed the slots of an upstream.

mod common;

use {
    common::{Network, assert_found, check, ms, rng},
    rand::{RngExt, rngs::StdRng},
    route::{
        faults::Fault,
        share::{Capacity, Grant, Granter, Holder, Report},
    },
    std::time::{Duration, Instant},
};

const REGION: &str = "north";
const MAX_DEADLINE: Duration = Duration::from_secs(6);
const STEP: Duration = Duration::from_millis(50);

/// One process, with a clock that runs up to 2.4% fast or slow.
struct Process {
    id: u64,
    holder: Holder,
    rate: f64,
    offset: Duration,
    next_report: Instant,
    /// Starts no further request, and ends once it has reported that its last one has ended.
    leaving: bool,
    /// Demand for each upstream, in hundredths of a slot.
    want: u32,
    alive: bool,
    disconnected_until: Instant,
}

struct World {
    rng: StdRng,
    start: Instant,
    now: Instant,
    granter: Option<Granter>,
    term: u64,
    /// When a new leader is elected, if there is none.
    leader_at: Instant,
    processes: Vec<Process>,
    boots: u64,
    /// Requests at upstreams: index of the upstream, index of the process, end.
    running: Vec<(usize, usize, Instant)>,
    slots: Vec<u16>,
    reports_busy: Vec<bool>,
    /// Last announcement of each upstream at the leader: busy slots and time of arrival. A leader
    /// that has received none has `u16::MAX` busy slots.
    last_announcements: Vec<(u16, Instant)>,
    announcements: Network<(usize, u16)>,
    reports: Network<(u64, Report)>,
    grants: Network<(usize, Grant)>,
    ids: Vec<u64>,
}

impl World {
    fn new(seed: u64) -> World {
        let mut rng = rng(seed);
        let start = Instant::now();
        let upstreams = rng.random_range(1..4);
        let instances = rng.random_range(2..6u64);
        let slots: Vec<u16> = (0..upstreams).map(|_| rng.random_range(1..9)).collect();
        let reports_busy = (0..upstreams).map(|_| rng.random_bool(0.7)).collect();
        let announcements = Network::new(&mut rng);
        let (reports, grants) = (Network::new(&mut rng), Network::new(&mut rng));
        let ids: Vec<u64> = (1..=instances).collect();
        let mut world = World {
            start,
            now: start,
            granter: None,
            term: 0,
            leader_at: start,
            processes: Vec::new(),
            boots: 0,
            running: Vec::new(),
            last_announcements: vec![(0, start); upstreams],
            slots,
            reports_busy,
            announcements,
            reports,
            grants,
            ids: ids.clone(),
            rng,
        };
        ids.into_iter().for_each(|id| world.boot(id));
        world
    }

    fn boot(&mut self, id: u64) {
        self.boots += 1;
        let rate = self.rng.random_range(0.976..1.024);
        let offset = ms(self.rng.random_range(0..1000));
        let mut process = Process {
            id,
            holder: Holder::new(REGION, id, self.boots, self.start),
            rate,
            offset,
            next_report: self.now,
            leaving: false,
            want: 100,
            alive: true,
            disconnected_until: self.start,
        };
        let local = process.local_time(self.now, self.start);
        process.holder = Holder::new(REGION, id, self.boots, local);
        self.processes.push(process);
    }

    fn busy(&self, upstream: usize, process: usize) -> u16 {
        self.running
            .iter()
            .filter(|(at, by, _)| (*at, *by) == (upstream, process))
            .count() as u16
    }

    fn step(&mut self) {
        self.now += STEP;
        let now = self.now;
        self.running.retain(|(_, _, end)| *end > now);
        self.inject_events();
        self.announce();
        self.exchange();
        self.start_requests();
    }

    fn inject_events(&mut self) {
        if self.granter.is_none() && self.now >= self.leader_at {
            self.term += 1;
            let granter = Granter::new(REGION, self.term, &self.ids, MAX_DEADLINE, self.now);
            self.granter = Some(granter);
            self.last_announcements
                .iter_mut()
                .for_each(|last| *last = (u16::MAX, self.start));
        } else if self.rng.random_bool(0.002) {
            // The old leader stops before a new one is elected.
            self.granter = None;
            self.leader_at = self.now + ms(self.rng.random_range(50..2000));
        }
        for index in 0..self.processes.len() {
            if !self.processes[index].alive {
                continue;
            }
            if self.rng.random_bool(0.001) {
                self.processes[index].alive = false;
            } else if self.rng.random_bool(0.001) {
                self.processes[index].leaving = true;
            } else if self.rng.random_bool(0.002) {
                self.processes[index].disconnected_until =
                    self.now + ms(self.rng.random_range(500..9000));
            } else if self.rng.random_bool(0.01) {
                self.processes[index].want = self.rng.random_range(0..1500);
            }
        }
        for id in self.ids.clone() {
            let is_running = self
                .processes
                .iter()
                .any(|process| process.id == id && process.alive);
            if !is_running && self.rng.random_bool(0.02) {
                self.boot(id);
            }
        }
    }

    fn announce(&mut self) {
        for upstream in 0..self.slots.len() {
            if self.rng.random_bool(0.05) {
                let busy = self
                    .running
                    .iter()
                    .filter(|(at, _, _)| *at == upstream)
                    .count() as u16;
                // An upstream cancels an announcement that takes a second or more.
                let late = self.announcements.late;
                self.announcements.late = 0.0;
                self.announcements
                    .send(&mut self.rng, (upstream, busy), self.now);
                self.announcements.late = late;
            }
        }
        for (upstream, busy) in self.announcements.take_arrived(self.now) {
            self.last_announcements[upstream] = (busy, self.now);
        }
    }

    fn exchange(&mut self) {
        let (now, start) = (self.now, self.start);
        for index in 0..self.processes.len() {
            if !self.processes[index].alive || self.processes[index].next_report > now {
                continue;
            }
            let rows: Vec<(String, u16, u32)> = (0..self.slots.len())
                .map(|at| {
                    (
                        format!("u{at}"),
                        self.busy(at, index),
                        self.processes[index].want,
                    )
                })
                .collect();
            let process = &mut self.processes[index];
            process.next_report = now + ms(500);
            let is_idle = rows.iter().all(|(_, busy, _)| *busy == 0);
            if process.leaving && is_idle {
                process.holder.retire();
                process.alive = self.rng.random_bool(0.5);
            }
            let local = process.local_time(now, start);
            let report = process.holder.report(rows, local);
            if now >= process.disconnected_until {
                self.reports.send(&mut self.rng, (process.id, report), now);
            }
        }
        let capacities: Vec<Capacity> = (0..self.slots.len())
            .filter(|at| self.last_announcements[*at].0 != u16::MAX)
            .map(|at| Capacity {
                upstream: format!("u{at}"),
                slots: self.slots[at],
                busy: self.reports_busy[at].then_some(self.last_announcements[at].0),
                age: now - self.last_announcements[at].1,
            })
            .collect();
        let arrived = self.reports.take_arrived(now);
        if let Some(granter) = &mut self.granter {
            granter.set_capacities(capacities, now);
            for (_, report) in arrived {
                if let Some(grant) = granter.grant(&report, now) {
                    let to = grant.boot as usize - 1;
                    self.grants.send(&mut self.rng, (to, grant), now);
                }
            }
        }
        for (to, grant) in self.grants.take_arrived(now) {
            let process = &mut self.processes[to];
            if process.alive && now >= process.disconnected_until {
                let local = process.local_time(now, start);
                process.holder.apply(&grant, local);
            }
        }
    }

    fn start_requests(&mut self) {
        for index in 0..self.processes.len() {
            for at in 0..self.slots.len() {
                let local = self.processes[index].local_time(self.now, self.start);
                let limit = self.processes[index].holder.limit(&format!("u{at}"), local);
                let mut busy = self.busy(at, index);
                let may_start = self.processes[index].alive && !self.processes[index].leaving;
                while may_start && busy < limit && self.rng.random_bool(0.6) {
                    let time = self.rng.random_range(20..MAX_DEADLINE.as_millis() as u64);
                    self.running.push((at, index, self.now + ms(time)));
                    busy += 1;
                }
            }
        }
    }

    /// Test oracle: requests at the upstream, and slots that live processes may still use.
    fn used(&self, at: usize) -> u32 {
        (0..self.processes.len())
            .map(|index| {
                let process = &self.processes[index];
                let local = process.local_time(self.now, self.start);
                let limit = process.holder.limit(&format!("u{at}"), local);
                let busy = self.busy(at, index);
                u32::from(if process.alive { busy.max(limit) } else { busy })
            })
            .sum()
    }
}

impl Process {
    fn local_time(&self, now: Instant, start: Instant) -> Instant {
        start + self.offset + (now - start).mul_f64(self.rate)
    }
}

fn run(seed: u64) -> Result<(), String> {
    let mut world = World::new(seed);
    for _ in 0..1200 {
        world.step();
        for at in 0..world.slots.len() {
            let (used, slots) = (world.used(at), u32::from(world.slots[at]));
            if used > slots {
                let time = (world.now - world.start).as_millis();
                return Err(format!(
                    "{used} of {slots} slots of u{at} in use at {time} ms"
                ));
            }
        }
    }
    Ok(())
}

/// Guards against slots that stay charged to a process after its shutdown because a grant was on its way to it.
#[test]
fn grants_on_their_way_are_not_charged_to_a_process_that_has_left() {
    let mut now = Instant::now();
    let mut granter = Granter::new(REGION, 1, &[1, 2], MAX_DEADLINE, now);
    let mut leaving = Holder::new(REGION, 1, 1, now);
    let mut other = Holder::new(REGION, 2, 2, now);
    let mut exchange = |holder: &mut Holder, want: u32, is_received: bool, now: Instant| {
        let capacity = Capacity {
            upstream: "u".into(),
            slots: 8,
            busy: Some(0),
            age: ms(0),
        };
        granter.set_capacities([capacity], now);
        let report = holder.report([("u".to_owned(), 0, want)], now);
        let grant = granter.grant(&report, now).unwrap();
        if is_received {
            holder.apply(&grant, now);
        }
        grant
    };
    for _ in 0..12 {
        now += ms(500);
        exchange(&mut leaving, 400, true, now);
        exchange(&mut other, 400, true, now);
    }
    assert_eq!((leaving.limit("u", now), other.limit("u", now)), (4, 4));
    let late = exchange(&mut leaving, 400, false, now);
    leaving.retire();
    exchange(&mut leaving, 0, false, now);
    assert!(
        !leaving.apply(&late, now),
        "a grant after the end was applied"
    );
    for _ in 0..2 {
        now += ms(500);
        exchange(&mut other, 800, true, now);
    }
    assert_eq!(other.limit("u", now), 8);
}

/// An upstream must not get more requests at once than it has slots.
#[test]
fn sum_never_exceeds_slots() {
    check(300, run);
}

/// A report that reaches a new leader after the previous one reduced the share must not restore it. With seed
/// 7304 that once led to 6 of 4 slots in use.
#[test]
fn late_reports_return_no_slots() {
    common::check_seed(7304, run);
}

/// The fuzzer must detect that slots become free while requests may still run on them.
#[test]
fn early_return_is_found() {
    assert_found(Fault::EarlyReturn, 100, run);
}

/// The fuzzer must detect a new leader that ignores the leases of the previous one.
#[test]
fn granting_at_once_is_found() {
    assert_found(Fault::GrantAtOnce, 100, run);
}

/// All slots must be granted within 6 s of the start, follow the demand, and become free again after a process
/// falls silent. A granter that grants nothing would pass the fuzzer.
#[test]
fn all_slots_are_granted() {
    let start = Instant::now();
    let mut granter = Granter::new(REGION, 1, &[1, 2, 3], MAX_DEADLINE, start);
    let mut holders: Vec<Holder> = (1..=3)
        .map(|id| Holder::new(REGION, id, id, start))
        .collect();
    let mut now = start;
    let mut round = |live: usize, wants: [u32; 3], now: Instant, busy: u16| -> Vec<u16> {
        let capacity = Capacity {
            upstream: "u".into(),
            slots: 8,
            busy: Some(busy),
            age: ms(0),
        };
        granter.set_capacities([capacity], now);
        for (holder, want) in holders.iter_mut().zip(wants).take(live) {
            let report = holder.report([("u".to_owned(), 0, want)], now);
            let grant = granter.grant(&report, now).unwrap();
            assert!(holder.apply(&grant, now));
        }
        holders
            .iter()
            .map(|holder| holder.limit("u", now))
            .collect()
    };
    let mut limits = Vec::new();
    while now < start + ms(6000) {
        limits = round(3, [100, 100, 100], now, 0);
        now += ms(500);
    }
    assert_eq!(limits.iter().sum::<u16>(), 8, "{limits:?}");
    for _ in 0..4 {
        limits = round(3, [1400, 100, 100], now, 0);
        now += ms(500);
    }
    assert_eq!(
        (limits[0], limits[1] + limits[2]),
        (7, 1),
        "shares follow demand"
    );
    let mut after = ms(0);
    while limits[0] + limits[1] < 8 || limits[2] > 0 {
        limits = round(2, [400, 400, 0], now, 0);
        now += ms(500);
        after += ms(500);
        assert!(
            after <= ms(6000),
            "the share of a silent process did not return: {limits:?}"
        );
    }
}

//! Fuzzing of routers and claims together: each key runs at most once, and what is refused as "not run"
//! did not run, whatever fails, restarts or is resent.

mod common;

use {
    common::{check, finds, ms, rng},
    model::{
        config::Config,
        place::Site,
        request::{Class, Ran},
        upstream::{Announcement, Upstream},
    },
    rand::{RngExt, rngs::StdRng},
    route::{
        Action, Event, Head, Outcome, Router, Settings,
        claim::{Answer, Reply, Table},
        faults::Fault,
        retry::Progress,
        share::{Grant, Share},
    },
    std::{
        collections::{BTreeMap, HashMap},
        sync::Arc,
        time::Instant,
    },
};

const KEYS: u64 = 24;

/// Something that happens later.
#[derive(Clone, Debug)]
enum Later {
    Event(usize, u64, Event),
    Execute {
        sending: u64,
    },
    Answer {
        process: usize,
        boot: u64,
        sending: u64,
        attempt: u64,
    },
    Bury {
        instance: u64,
        boot: u64,
    },
}

struct Process {
    router: Router,
    boot: u64,
    alive: bool,
    grants: u64,
}

/// One sending of a key by a caller.
#[derive(Clone, Debug)]
struct Sending {
    key: u64,
    executed: bool,
    refused_as_not_run: bool,
    claimed: bool,
}

struct World {
    rng: StdRng,
    start: Instant,
    now: Instant,
    sequence: u64,
    processes: Vec<Process>,
    claims: Table,
    sendings: HashMap<u64, Sending>,
    next: u64,
    executions: BTreeMap<u64, u64>,
    agenda: Vec<(Instant, Later)>,
    config: Arc<Config>,
    broken: Option<String>,
}

fn idempotent(key: u64) -> bool {
    key.is_multiple_of(3)
}

fn site() -> Site {
    Site {
        region: "north".into(),
        data_centre: "a".into(),
    }
}

impl World {
    fn new(seed: u64) -> World {
        let text = r#"{"number":1,"accounts":{"acme":{"places":["north"]}}}"#;
        let start = Instant::now();
        let mut world = World {
            rng: rng(seed),
            start,
            now: start,
            sequence: 1,
            processes: Vec::new(),
            claims: Table::default(),
            sendings: HashMap::new(),
            next: 1,
            executions: BTreeMap::new(),
            agenda: Vec::new(),
            config: Arc::new(serde_json::from_str(text).unwrap()),
            broken: None,
        };
        for instance in 1..=3 {
            let process = world.boot(instance, 1);
            world.processes.push(process);
        }
        world
    }

    fn boot(&mut self, instance: u64, boot: u64) -> Process {
        let mut settings = Settings::new(instance, boot, site());
        settings.retry_fraction = 1.0;
        settings.hedge_fraction = 0.5;
        let mut router = Router::new(settings);
        router.observe(Event::Configured(Some(self.config.clone())), self.now);
        Process {
            router,
            boot,
            alive: true,
            grants: 0,
        }
    }

    fn wall(&self) -> u64 {
        (self.now - self.start).as_millis() as u64
    }

    fn later(&mut self, delay: std::ops::Range<u64>, what: Later) {
        let at = self.now + ms(self.rng.random_range(delay));
        self.agenda.push((at, what));
    }

    /// Announces two upstreams and grants each instance two slots of each.
    fn feed(&mut self, index: usize) {
        self.sequence += 1;
        for name in ["u0", "u1"] {
            let upstream = Upstream {
                name: name.into(),
                service: "fit".into(),
                site: site(),
                address: "127.0.0.1:1".into(),
                slots: 6,
                connections: 64,
            };
            let announcement = Announcement {
                upstream,
                sequence: self.sequence,
                departing: false,
                busy: None,
            };
            self.observe(index, Event::Announced(announcement));
        }
        let now = self.now;
        let process = &mut self.processes[index];
        process.grants += 1;
        let report = process.router.report("north", now);
        let grant = Grant {
            region: "north".into(),
            instance: report.instance,
            boot: report.boot,
            term: 1,
            sequence: process.grants,
            report: report.number,
            lease_ms: 3000,
            shares: ["u0", "u1"]
                .map(|name| Share {
                    upstream: name.into(),
                    slots: 2,
                })
                .into(),
        };
        self.observe(index, Event::Granted(grant));
    }

    fn observe(&mut self, index: usize, event: Event) {
        if self.processes[index].alive {
            let actions = self.processes[index].router.observe(event, self.now);
            self.perform(index, actions);
        }
    }

    fn send(&mut self) {
        let index = self.rng.random_range(0..self.processes.len());
        if !self.processes[index].alive {
            return;
        }
        let key = self.rng.random_range(0..KEYS);
        let request = self.next;
        self.next += 1;
        let sending = Sending {
            key,
            executed: false,
            refused_as_not_run: false,
            claimed: false,
        };
        self.sendings.insert(request, sending);
        let head = Head {
            request,
            account: "acme".into(),
            class: Class::Short,
            service: "fit".into(),
            deadline: self.now + ms(self.rng.random_range(50..3000)),
            idempotent: idempotent(key),
            replayable: true,
        };
        let actions = self.processes[index].router.offer(head, self.now);
        self.perform(index, actions);
    }

    fn perform(&mut self, index: usize, actions: Vec<Action>) {
        for action in actions {
            match action {
                Action::Claim { request } => self.claim(index, request),
                Action::Send {
                    request, attempt, ..
                } => self.attempt(index, request, attempt),
                Action::Cancel { attempt, .. } => {
                    let event = Event::Finished {
                        attempt,
                        outcome: Outcome::Stopped,
                    };
                    let boot = self.processes[index].boot;
                    self.later(0..20, Later::Event(index, boot, event));
                }
                Action::Refuse { request, refusal } => {
                    self.refused(index, request, refusal.ran);
                }
            }
        }
    }

    fn holder(&self, index: usize) -> (u64, u64) {
        (index as u64 + 1, self.processes[index].boot)
    }

    fn claim(&mut self, index: usize, request: u64) {
        let key = self.sendings[&request].key;
        let (holder, wall) = (self.holder(index), self.wall());
        let boot = self.processes[index].boot;
        match self
            .claims
            .claim("acme", &key.to_string(), key, holder, wall)
        {
            Reply::Granted => {
                if let Some(sending) = self.sendings.get_mut(&request) {
                    sending.claimed = true;
                }
                self.later(1..50, Later::Event(index, boot, Event::Claimed { request }));
            }
            _ => self.later(
                1..50,
                Later::Event(index, boot, Event::Abandoned { request }),
            ),
        }
    }

    fn attempt(&mut self, index: usize, sending: u64, attempt: u64) {
        let boot = self.processes[index].boot;
        let failed = |progress| Event::Finished {
            attempt,
            outcome: Outcome::Failed(progress),
        };
        if self.rng.random_bool(0.15) {
            return self.later(1..100, Later::Event(index, boot, failed(Progress::Unsent)));
        }
        self.observe(index, Event::Sent { attempt });
        if self.rng.random_bool(0.8) {
            self.later(1..500, Later::Execute { sending });
        }
        match self.rng.random_range(0..10) {
            0..6 => {
                self.later(
                    500..900,
                    Later::Answer {
                        process: index,
                        boot,
                        sending,
                        attempt,
                    },
                );
            }
            6..9 => self.later(1..900, Later::Event(index, boot, failed(Progress::Sent))),
            _ => {}
        }
    }

    fn refused(&mut self, index: usize, request: u64, ran: Ran) {
        let (holder, wall) = (self.holder(index), self.wall());
        let Some(sending) = self.sendings.get_mut(&request) else {
            return;
        };
        sending.refused_as_not_run = ran == Ran::No;
        let (key, claimed, executed) = (sending.key, sending.claimed, sending.executed);
        let runs = self.executions.get(&key).copied().unwrap_or(0);
        if ran == Ran::No && (executed || (claimed && runs > 0)) {
            self.broken = Some(format!("key {key} ran and was refused as \"not run\""));
        }
        // The report of the end of a claim may be lost.
        if claimed && self.rng.random_bool(0.9) {
            let key = key.to_string();
            match ran {
                Ran::No => self.claims.release("acme", &key, holder, wall),
                Ran::Unknown => self.claims.mark_unknown("acme", &key, holder, wall),
            };
        }
    }

    fn happen(&mut self, what: Later) {
        match what {
            Later::Event(index, boot, event) => {
                if self.processes[index].boot == boot {
                    self.observe(index, event);
                }
            }
            Later::Execute { sending } => {
                let Some(sending) = self.sendings.get_mut(&sending) else {
                    return;
                };
                sending.executed = true;
                let (key, refused) = (sending.key, sending.refused_as_not_run);
                let runs = self.executions.entry(key).or_default();
                *runs += 1;
                if *runs > 1 && !idempotent(key) {
                    self.broken = Some(format!("key {key} ran {runs} times"));
                }
                if refused {
                    self.broken = Some(format!("key {key} ran after a refusal as \"not run\""));
                }
            }
            Later::Answer {
                process,
                boot,
                sending,
                attempt,
            } => {
                if self.processes[process].boot != boot || !self.processes[process].alive {
                    return;
                }
                self.observe(process, Event::Answering { attempt });
                let outcome = Outcome::Answered;
                self.observe(process, Event::Finished { attempt, outcome });
                let sending = &self.sendings[&sending];
                if sending.claimed {
                    let answer = Answer {
                        status: 200,
                        headers: Vec::new(),
                        body: Some(vec![1]),
                    };
                    let (holder, wall) = (self.holder(process), self.wall());
                    self.claims.record_answer(
                        "acme",
                        &sending.key.to_string(),
                        holder,
                        answer,
                        wall,
                    );
                }
            }
            Later::Bury { instance, boot } => {
                let wall = self.wall();
                self.claims.mark_instance_dead(instance, Some(boot), wall);
            }
        }
    }

    fn step(&mut self) {
        self.now += ms(10);
        let now = self.now;
        while let Some(index) = self.agenda.iter().position(|(at, _)| *at <= now) {
            let (_, what) = self.agenda.swap_remove(index);
            self.happen(what);
        }
        for index in 0..self.processes.len() {
            self.observe(index, Event::Tick);
            if self.wall().is_multiple_of(200) {
                self.feed(index);
            }
            if self.processes[index].alive {
                self.processes[index].alive = !self.rng.random_bool(0.001);
            } else if self.rng.random_bool(0.02) {
                let (instance, boot) = (index as u64 + 1, self.processes[index].boot + 1);
                self.processes[index] = self.boot(instance, boot);
                self.later(0..500, Later::Bury { instance, boot });
            }
        }
        if self.rng.random_bool(0.3) {
            self.send();
        }
    }
}

fn run(seed: u64) -> Result<(), String> {
    let mut world = World::new(seed);
    for _ in 0..1500 {
        world.step();
        if let Some(rule) = world.broken.take() {
            return Err(rule);
        }
    }
    Ok(())
}

/// Guards against a second run of a key and against a false "not run".
#[test]
fn keys_run_at_most_once() {
    check(60, run);
}

/// Guards against an oracle that would accept claims that a restart forgets.
#[test]
fn forgotten_claim_is_found() {
    finds(Fault::ForgottenClaim, 100, run);
}

/// Guards against an oracle that would accept a resend of a request that may have run.
#[test]
fn retry_after_send_is_found() {
    finds(Fault::RetryAfterSend, 100, run);
}

/// Guards against fuzzing that never reaches the interesting states.
#[test]
fn runs_reach_every_state() {
    let mut world = World::new(3);
    for _ in 0..1500 {
        world.step();
    }
    assert!(
        world.executions.len() as u64 > KEYS / 2,
        "{:?}",
        world.executions
    );
    assert!(
        world
            .sendings
            .values()
            .any(|sending| sending.refused_as_not_run)
    );
    let claimed = world
        .sendings
        .values()
        .filter(|sending| sending.claimed)
        .count();
    assert!(
        claimed as u64 > KEYS / 2,
        "{claimed} of {} sendings claimed",
        world.sendings.len()
    );
}

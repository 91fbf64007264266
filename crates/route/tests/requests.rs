//! Fuzzing of routers and claims together: under failures, restarts and retries, each request that is not
//! idempotent runs at most once, and a request that is refused as "not run" did not run.

mod common;

use {
    common::{assert_found, check, ms, rng},
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

/// Number of idempotency keys that the clients use.
const KEYS: u64 = 24;

/// A step that is scheduled for a later time.
#[derive(Clone, Debug)]
enum Scheduled {
    /// Index and boot number of the process, and the event that its router gets.
    Event(usize, u64, Event),
    Execute {
        submission: u64,
    },
    Answer {
        process: usize,
        boot: u64,
        submission: u64,
        attempt: u64,
    },
    DeclareDead {
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

/// One request of a client with a key; clients send the same key repeatedly.
#[derive(Clone, Debug)]
struct Submission {
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
    submissions: HashMap<u64, Submission>,
    next: u64,
    executions: BTreeMap<u64, u64>,
    scheduled: Vec<(Instant, Scheduled)>,
    config: Arc<Config>,
    violation: Option<String>,
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
            submissions: HashMap::new(),
            next: 1,
            executions: BTreeMap::new(),
            scheduled: Vec::new(),
            config: Arc::new(serde_json::from_str(text).unwrap()),
            violation: None,
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

    fn wall_ms(&self) -> u64 {
        (self.now - self.start).as_millis() as u64
    }

    fn schedule(&mut self, delay: std::ops::Range<u64>, what: Scheduled) {
        let at = self.now + ms(self.rng.random_range(delay));
        self.scheduled.push((at, what));
    }

    /// Announces two upstreams to a process, and grants it two slots of each.
    fn announce_and_grant(&mut self, index: usize) {
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

    fn submit(&mut self) {
        let index = self.rng.random_range(0..self.processes.len());
        if !self.processes[index].alive {
            return;
        }
        let key = self.rng.random_range(0..KEYS);
        let request = self.next;
        self.next += 1;
        let submission = Submission {
            key,
            executed: false,
            refused_as_not_run: false,
            claimed: false,
        };
        self.submissions.insert(request, submission);
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
                    self.schedule(0..20, Scheduled::Event(index, boot, event));
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
        let key = self.submissions[&request].key;
        let (holder, wall_ms) = (self.holder(index), self.wall_ms());
        let boot = self.processes[index].boot;
        match self
            .claims
            .claim("acme", &key.to_string(), key, holder, wall_ms)
        {
            Reply::Granted => {
                if let Some(submission) = self.submissions.get_mut(&request) {
                    submission.claimed = true;
                }
                self.schedule(
                    1..50,
                    Scheduled::Event(index, boot, Event::Claimed { request }),
                );
            }
            _ => self.schedule(
                1..50,
                Scheduled::Event(index, boot, Event::Abandoned { request }),
            ),
        }
    }

    fn attempt(&mut self, index: usize, submission: u64, attempt: u64) {
        let boot = self.processes[index].boot;
        let failed = |progress| Event::Finished {
            attempt,
            outcome: Outcome::Failed(progress),
        };
        if self.rng.random_bool(0.15) {
            return self.schedule(
                1..100,
                Scheduled::Event(index, boot, failed(Progress::Unsent)),
            );
        }
        self.observe(index, Event::Sent { attempt });
        if self.rng.random_bool(0.8) {
            self.schedule(1..500, Scheduled::Execute { submission });
        }
        match self.rng.random_range(0..10) {
            0..6 => {
                self.schedule(
                    500..900,
                    Scheduled::Answer {
                        process: index,
                        boot,
                        submission,
                        attempt,
                    },
                );
            }
            6..9 => self.schedule(
                1..900,
                Scheduled::Event(index, boot, failed(Progress::Sent)),
            ),
            _ => {}
        }
    }

    fn refused(&mut self, index: usize, request: u64, ran: Ran) {
        let (holder, wall_ms) = (self.holder(index), self.wall_ms());
        let Some(submission) = self.submissions.get_mut(&request) else {
            return;
        };
        submission.refused_as_not_run = ran == Ran::No;
        let (key, claimed, executed) = (submission.key, submission.claimed, submission.executed);
        let runs = self.executions.get(&key).copied().unwrap_or(0);
        if ran == Ran::No && (executed || (claimed && runs > 0)) {
            self.violation = Some(format!("key {key} ran and was refused as \"not run\""));
        }
        // The message that ends a claim may be lost.
        if claimed && self.rng.random_bool(0.9) {
            let key = key.to_string();
            match ran {
                Ran::No => self.claims.release("acme", &key, holder, wall_ms),
                Ran::Unknown => self.claims.mark_unknown("acme", &key, holder, wall_ms),
            };
        }
    }

    fn apply(&mut self, what: Scheduled) {
        match what {
            Scheduled::Event(index, boot, event) => {
                if self.processes[index].boot == boot {
                    self.observe(index, event);
                }
            }
            Scheduled::Execute { submission } => {
                let Some(submission) = self.submissions.get_mut(&submission) else {
                    return;
                };
                submission.executed = true;
                let (key, refused) = (submission.key, submission.refused_as_not_run);
                let runs = self.executions.entry(key).or_default();
                *runs += 1;
                if *runs > 1 && !idempotent(key) {
                    self.violation = Some(format!("key {key} ran {runs} times"));
                }
                if refused {
                    self.violation = Some(format!("key {key} ran after a refusal as \"not run\""));
                }
            }
            Scheduled::Answer {
                process,
                boot,
                submission,
                attempt,
            } => {
                if self.processes[process].boot != boot || !self.processes[process].alive {
                    return;
                }
                self.observe(process, Event::Answering { attempt });
                let outcome = Outcome::Answered;
                self.observe(process, Event::Finished { attempt, outcome });
                let submission = &self.submissions[&submission];
                if submission.claimed {
                    let answer = Answer {
                        status: 200,
                        headers: Vec::new(),
                        body: Some(vec![1]),
                    };
                    let (holder, wall_ms) = (self.holder(process), self.wall_ms());
                    self.claims.record_answer(
                        "acme",
                        &submission.key.to_string(),
                        holder,
                        answer,
                        wall_ms,
                    );
                }
            }
            Scheduled::DeclareDead { instance, boot } => {
                let wall_ms = self.wall_ms();
                self.claims
                    .mark_instance_dead(instance, Some(boot), wall_ms);
            }
        }
    }

    fn step(&mut self) {
        self.now += ms(10);
        let now = self.now;
        while let Some(index) = self.scheduled.iter().position(|(at, _)| *at <= now) {
            let (_, what) = self.scheduled.swap_remove(index);
            self.apply(what);
        }
        for index in 0..self.processes.len() {
            self.observe(index, Event::Tick);
            if self.wall_ms().is_multiple_of(200) {
                self.announce_and_grant(index);
            }
            if self.processes[index].alive {
                self.processes[index].alive = !self.rng.random_bool(0.001);
            } else if self.rng.random_bool(0.02) {
                let (instance, boot) = (index as u64 + 1, self.processes[index].boot + 1);
                self.processes[index] = self.boot(instance, boot);
                self.schedule(0..500, Scheduled::DeclareDead { instance, boot });
            }
        }
        if self.rng.random_bool(0.3) {
            self.submit();
        }
    }
}

fn run(seed: u64) -> Result<(), String> {
    let mut world = World::new(seed);
    for _ in 0..1500 {
        world.step();
        if let Some(violation) = world.violation.take() {
            return Err(violation);
        }
    }
    Ok(())
}

/// A request that is not idempotent must not run twice, nor run if it is refused as "not run".
#[test]
fn keys_run_at_most_once() {
    check(60, run);
}

/// The fuzzer must detect that a restart removes claims.
#[test]
fn forgotten_claim_is_found() {
    assert_found(Fault::ForgottenClaim, 100, run);
}

/// The fuzzer must detect the retry of a request that may have run.
#[test]
fn retry_after_send_is_found() {
    assert_found(Fault::RetryAfterSend, 100, run);
}

/// The fuzzer must reach the states that it checks: executions, refusals as "not run", and claims.
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
            .submissions
            .values()
            .any(|submission| submission.refused_as_not_run)
    );
    let claimed = world
        .submissions
        .values()
        .filter(|submission| submission.claimed)
        .count();
    assert!(
        claimed as u64 > KEYS / 2,
        "{claimed} of {} submissions claimed",
        world.submissions.len()
    );
}

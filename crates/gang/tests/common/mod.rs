#![allow(dead_code)]

use {
    gang::{Decision, Event, Scheduler, Settings},
    model::{
        account::{Account, Guarantee},
        config::Config,
        job::{Attempt, Class, Job, Spec, State},
        place::Site,
        shape::{Adjacency, Shape},
        worker::Worker,
    },
    std::time::{Duration, Instant},
};

pub const REGION: &str = "north";

pub fn shape(tasks: u16, accelerators: u16, adjacency: Adjacency) -> Shape {
    Shape {
        tasks,
        accelerators,
        cpus: 1,
        memory_mb: 1024,
        adjacency,
    }
}

pub fn account(places: &[&str]) -> Account {
    Account {
        places: places.iter().map(|place| place.parse().unwrap()).collect(),
        weight: 1,
        quota: None,
        guarantees: Default::default(),
        objectives: Vec::new(),
    }
}

pub fn guarantee(shape: Shape, count: u16, place: &str) -> Guarantee {
    Guarantee {
        shape,
        count,
        place: place.parse().unwrap(),
    }
}

pub fn worker(name: &str, data_centre: &str, rack: &str) -> Worker {
    Worker {
        name: name.into(),
        site: Site {
            region: REGION.into(),
            data_centre: data_centre.into(),
        },
        rack: rack.into(),
        accelerators: 8,
        cpus: 32,
        memory_mb: 64 * 1024,
        address: "127.0.0.1:1".into(),
    }
}

/// A scheduler and a simulated controller that commits proposals when the test says so.
pub struct Harness {
    pub scheduler: Scheduler,
    pub now: Instant,
    pub wall_ms: u64,
    pub jobs: Vec<Job>,
    pub config: Config,
    token: u64,
}

impl Harness {
    pub fn new(accounts: impl IntoIterator<Item = (&'static str, Account)>) -> Harness {
        Harness::with(Settings::default(), accounts)
    }

    pub fn with(
        settings: Settings,
        accounts: impl IntoIterator<Item = (&'static str, Account)>,
    ) -> Harness {
        let mut harness = Harness {
            scheduler: Scheduler::new(settings),
            now: Instant::now(),
            wall_ms: 1_000_000,
            jobs: Vec::new(),
            config: Config::default(),
            token: 0,
        };
        for (name, account) in accounts {
            harness.config.accounts.insert(name.into(), account);
        }
        harness.configure();
        harness.pass_time(Duration::ZERO);
        harness
    }

    pub fn configure(&mut self) {
        self.config.number += 1;
        let config = Box::new(self.config.clone());
        self.observe(Event::Configured(config));
    }

    pub fn observe(&mut self, event: Event) {
        self.scheduler.observe(event, self.now);
    }

    /// Advances the clocks and reports the tick.
    pub fn pass_time(&mut self, step: Duration) {
        self.now += step;
        self.wall_ms += step.as_millis() as u64;
        let wall_ms = self.wall_ms;
        self.observe(Event::Tick { wall_ms });
    }

    pub fn announce(&mut self, worker: Worker) {
        self.observe(Event::WorkerAnnounced {
            worker: Box::new(worker),
            tasks: Vec::new(),
        });
    }

    /// Announces `count` workers `w0`, `w1`, ... in one rack.
    pub fn announce_rack(&mut self, count: usize) {
        for index in 0..count {
            self.announce(worker(&format!("w{index}"), "a", "r0"));
        }
    }

    pub fn submit(&mut self, account: &str, class: Class, shape: Shape) -> u64 {
        self.submit_spec(Spec {
            account: account.into(),
            key: String::new(),
            class,
            shape,
            place: None,
            repeatable: true,
            max_attempts: 5,
            declared_seconds: None,
            payload: String::new(),
        })
    }

    pub fn submit_spec(&mut self, spec: Spec) -> u64 {
        let id = self.jobs.len() as u64;
        let job = Job {
            id,
            spec,
            state: State::Queued,
            attempt: None,
            starts: 0,
            cancelled: false,
            borrowed: false,
            detail: String::new(),
            submitted_ms: self.wall_ms,
            changed_ms: self.wall_ms,
        };
        self.jobs.push(job.clone());
        self.observe(Event::JobAccepted(Box::new(job)));
        id
    }

    pub fn decide(&mut self) -> Vec<Decision> {
        self.scheduler.decide(self.now)
    }

    /// Changes the state of a job and reports it.
    pub fn change(&mut self, id: u64, state: State) {
        let job = &mut self.jobs[id as usize];
        job.state = state;
        job.changed_ms = self.wall_ms;
        if state == State::Starting {
            job.starts += 1;
        }
        let job = Box::new(job.clone());
        self.observe(Event::JobChanged(job));
    }

    /// Commits proposals: placed jobs reach `Running`, reclaimed jobs `Queued`. Returns the decisions
    /// that are not about jobs.
    pub fn commit(&mut self, decisions: Vec<Decision>) -> Vec<Decision> {
        let mut rest = Vec::new();
        for decision in decisions {
            match decision {
                Decision::Place {
                    job,
                    members,
                    borrowed,
                } => {
                    self.token += 1;
                    let record = &mut self.jobs[job as usize];
                    record.borrowed = borrowed;
                    record.attempt = Some(Attempt {
                        number: record.attempt.as_ref().map_or(1, |last| last.number + 1),
                        token: self.token,
                        members,
                    });
                    self.change(job, State::Placed);
                    self.change(job, State::Starting);
                    self.change(job, State::Running);
                }
                Decision::Reclaim { job, .. } => {
                    self.change(job, State::Stopping);
                    self.change(job, State::Queued);
                }
                Decision::Fail { job, .. } => self.change(job, State::Failed),
                other => rest.push(other),
            }
        }
        rest
    }

    /// Decides and commits until nothing more is proposed.
    pub fn run_until_idle(&mut self) {
        for _ in 0..50 {
            let decisions = self.decide();
            if decisions.is_empty() {
                return;
            }
            self.commit(decisions);
        }
        panic!("the scheduler proposes without end");
    }

    pub fn state(&self, id: u64) -> State {
        self.jobs[id as usize].state
    }

    pub fn explain(&self, id: u64) -> String {
        self.scheduler.explain(id).unwrap_or_default()
    }
}

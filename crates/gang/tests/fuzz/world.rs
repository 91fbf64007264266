use {
    super::{
        common::{shape, worker},
        setup::{config, settings},
    },
    gang::{Decision, Event, Fault, Reason, Scheduler},
    model::{
        config::Config,
        job::{Attempt, Class, Job, Spec, State},
        shape::{Adjacency, Shape},
        worker::{Task, TaskState, Usage, Worker},
    },
    rand::{RngExt, SeedableRng, rngs::StdRng, seq::IndexedRandom},
    std::{
        collections::{BTreeMap, BTreeSet},
        time::{Duration, Instant},
    },
};

/// What the oracle knows of a worker.
#[derive(Clone, Debug)]
pub struct Machine {
    pub worker: Worker,
    pub live: bool,
    pub drained: bool,
    pub quarantined: bool,
    /// Jobs that failed here since one last succeeded here.
    pub failed: BTreeSet<u64>,
}

impl Machine {
    pub fn in_service(&self) -> bool {
        self.live && !self.drained && !self.quarantined
    }
}

/// Random numbers; a copy starts from a fixed seed.
pub struct Dice(StdRng);

impl Clone for Dice {
    fn clone(&self) -> Dice {
        Dice(StdRng::seed_from_u64(0))
    }
}

impl std::ops::Deref for Dice {
    type Target = StdRng;

    fn deref(&self) -> &StdRng {
        &self.0
    }
}

impl std::ops::DerefMut for Dice {
    fn deref_mut(&mut self) -> &mut StdRng {
        &mut self.0
    }
}

/// A controller with random delays, refusals and failures around a scheduler.
#[derive(Clone)]
pub struct World {
    pub scheduler: Scheduler,
    pub rng: Dice,
    pub now: Instant,
    pub wall_ms: u64,
    pub config: Config,
    pub machines: BTreeMap<String, Machine>,
    pub jobs: BTreeMap<u64, Job>,
    /// Proposals that are neither committed nor refused.
    pub flight: Vec<Decision>,
    /// Jobs with a reclaim in flight or in progress.
    pub asked: BTreeSet<u64>,
    pub token: u64,
    pub fault: Option<Fault>,
    /// Workers that the present leader has heard of.
    pub heard: BTreeSet<String>,
}

impl World {
    pub fn new(seed: u64, fault: Option<Fault>) -> World {
        let mut scheduler = Scheduler::new(settings());
        if let Some(fault) = fault {
            scheduler.inject(fault);
        }
        let mut world = World {
            scheduler,
            rng: Dice(StdRng::seed_from_u64(seed)),
            now: Instant::now(),
            wall_ms: 1_000_000,
            config: config(),
            machines: BTreeMap::new(),
            jobs: BTreeMap::new(),
            flight: Vec::new(),
            asked: BTreeSet::new(),
            token: 0,
            fault,
            heard: BTreeSet::new(),
        };
        world.observe(Event::Tick { wall_ms: 1_000_000 });
        world.observe(Event::Configured(Box::new(config())));
        for centre in ["a", "b"] {
            for rack in 0..2 {
                for index in 0..3 {
                    let name = format!("{centre}{rack}{index}");
                    let mut worker = worker(&name, centre, &format!("r{rack}"));
                    worker.accelerators = if index == 2 { 4 } else { 8 };
                    worker.cpus = 16;
                    let machine = Machine {
                        worker,
                        live: true,
                        drained: false,
                        quarantined: false,
                        failed: BTreeSet::new(),
                    };
                    world.machines.insert(name.clone(), machine);
                    world.seen(&name);
                }
            }
        }
        world
    }

    pub fn observe(&mut self, event: Event) {
        self.scheduler.observe(event, self.now);
    }

    pub fn seen(&mut self, name: &str) {
        let mut tasks = Vec::new();
        for job in self.jobs.values().filter(|job| job.state == State::Running) {
            for member in job.attempt.iter().flat_map(|attempt| &attempt.members) {
                if member.worker == name {
                    tasks.push(Task {
                        token: 0,
                        job: job.id,
                        task: member.task,
                        state: TaskState::Running,
                        usage: Usage {
                            cpus: 0.5,
                            memory_mb: 100,
                            since_checkpoint_seconds: self.rng.random_range(0..600),
                        },
                        detail: String::new(),
                    });
                }
            }
        }
        let Some(machine) = self.machines.get_mut(name) else {
            return;
        };
        machine.live = true;
        self.heard.insert(name.into());
        let worker = Box::new(machine.worker.clone());
        self.observe(Event::WorkerAnnounced { worker, tasks });
    }

    /// One random step of the cluster, its users or its operators.
    pub fn step(&mut self) -> &'static str {
        match self.rng.random_range(0..100) {
            0..22 => self.submit(),
            22..52 => self.answer(),
            52..72 => self.advance(),
            72..78 => self.pass(),
            78..81 => self.fail(),
            81..84 => self.cancel(1),
            84..85 => self.cancel(20),
            85..88 => self.leave(),
            88..92 => self.back(),
            92..93 => self.lose_rack(),
            93..96 => self.note(),
            96..97 => self.take_over(),
            _ => self.usage(),
        }
    }

    fn submit(&mut self) -> &'static str {
        let accounts: Vec<_> = self.config.accounts.keys().cloned().collect();
        let Some(name) = accounts.choose(&mut *self.rng).cloned() else {
            return "nothing";
        };
        let guaranteed: Vec<_> = self.config.accounts[&name]
            .guarantees
            .values()
            .map(|g| g.shape.clone())
            .collect();
        let adjacency = [Adjacency::Worker, Adjacency::Rack, Adjacency::DataCentre];
        let mut wanted = shape(
            self.rng.random_range(1..5),
            self.rng.random_range(1..6),
            *adjacency.choose(&mut *self.rng).unwrap(),
        );
        if self.rng.random_bool(0.3)
            && let Some(guaranteed) = guaranteed.choose(&mut *self.rng)
        {
            wanted = guaranteed.clone();
        }
        let class = [
            Class::Urgent,
            Class::Standard,
            Class::Standard,
            Class::Sweep,
        ];
        let class = *class.choose(&mut *self.rng).unwrap();
        let repeatable = self.rng.random_bool(0.7);
        let max_attempts = self.rng.random_range(1..5);
        self.accept(&name, class, wanted, repeatable, max_attempts);
        "submit"
    }

    pub fn accept(
        &mut self,
        account: &str,
        class: Class,
        shape: Shape,
        repeatable: bool,
        max_attempts: u32,
    ) -> u64 {
        let id = self.jobs.len() as u64;
        let job = Job {
            id,
            spec: Spec {
                account: account.into(),
                key: id.to_string(),
                class,
                shape,
                place: None,
                repeatable,
                max_attempts,
                declared_seconds: Some(self.rng.random_range(1..1000)),
                payload: String::new(),
            },
            state: State::Queued,
            attempt: None,
            starts: 0,
            cancelled: false,
            borrowed: false,
            detail: String::new(),
            submitted_ms: self.wall_ms,
            changed_ms: self.wall_ms,
        };
        self.jobs.insert(id, job.clone());
        self.observe(Event::JobAccepted(Box::new(job)));
        id
    }

    pub fn change(&mut self, id: u64, state: State) {
        let Some(job) = self.jobs.get_mut(&id) else {
            return;
        };
        job.state = state;
        job.changed_ms = self.wall_ms;
        if state == State::Starting {
            job.starts += 1;
        }
        if !state.holds() || state == State::Stopping {
            self.asked.remove(&id);
        }
        let job = Box::new(job.clone());
        self.observe(Event::JobChanged(job));
    }

    /// Commits or refuses one proposal in flight.
    fn answer(&mut self) -> &'static str {
        if self.flight.is_empty() {
            return "nothing";
        }
        let at = self.rng.random_range(0..self.flight.len());
        // Two proposals for one job are answered in their order.
        let job = job_of(&self.flight[at]);
        let at = self
            .flight
            .iter()
            .position(|d| job.is_some() && job_of(d) == job)
            .unwrap_or(at);
        let decision = self.flight.remove(at);
        if self.rng.random_bool(0.1)
            && let Some(job) = job.filter(|job| !self.is_void(&decision, *job))
        {
            self.asked.remove(&job);
            self.observe(Event::ProposalRejected { job });
            return "reject";
        }
        self.commit(decision);
        "commit"
    }

    /// Tells whether the job changed after the proposal; the change was reported already.
    fn is_void(&self, decision: &Decision, job: u64) -> bool {
        let state = self.jobs[&job].state;
        match decision {
            Decision::Reclaim { .. } => {
                !matches!(state, State::Placed | State::Starting | State::Running)
            }
            _ => state != State::Queued,
        }
    }

    pub fn commit(&mut self, decision: Decision) {
        match decision {
            Decision::Place {
                job: id,
                members,
                borrowed,
            } => {
                let job = self.jobs.get_mut(&id).unwrap();
                if job.state != State::Queued {
                    return;
                }
                self.token += 1;
                job.borrowed = borrowed;
                job.attempt = Some(Attempt {
                    number: job.attempt.as_ref().map_or(1, |last| last.number + 1),
                    token: self.token,
                    members,
                });
                self.change(id, State::Placed);
            }
            Decision::Reclaim { job: id, .. } => match self.jobs[&id].state {
                State::Placed => self.change(id, State::Queued),
                State::Starting | State::Running => self.change(id, State::Stopping),
                // The transition that made the proposal void was reported already.
                _ => {
                    self.asked.remove(&id);
                }
            },
            Decision::Fail { job: id, .. } if self.jobs[&id].state == State::Queued => {
                self.change(id, State::Failed);
            }
            Decision::Probe { worker } => {
                let passed = self.rng.random_bool(0.7);
                if let Some(machine) = self.machines.get_mut(&worker) {
                    machine.quarantined &= !passed;
                }
                self.observe(Event::WorkerProbed { worker, passed });
            }
            _ => {}
        }
    }

    /// Moves one job on by one state.
    fn advance(&mut self) -> &'static str {
        let held: Vec<_> = self
            .jobs
            .values()
            .filter(|job| job.state.holds())
            .map(|job| job.id)
            .collect();
        let Some(id) = held.choose(&mut *self.rng).copied() else {
            return "nothing";
        };
        match self.jobs[&id].state {
            State::Placed if self.rng.random_bool(0.1) => self.change(id, State::Queued),
            State::Placed => self.change(id, State::Starting),
            State::Starting => self.change(id, State::Running),
            State::Running if self.rng.random_bool(0.4) => self.finish(id),
            State::Stopping => self.stopped(id),
            _ => {}
        }
        "advance"
    }

    fn finish(&mut self, id: u64) {
        for member in self.jobs[&id]
            .attempt
            .clone()
            .into_iter()
            .flat_map(|a| a.members)
        {
            if let Some(machine) = self.machines.get_mut(&member.worker) {
                machine.failed.clear();
            }
        }
        self.change(id, State::Done);
    }

    pub fn stopped(&mut self, id: u64) {
        let job = &self.jobs[&id];
        let next = match () {
            () if job.cancelled => State::Cancelled,
            () if job.spec.repeatable => State::Queued,
            () => State::Unknown,
        };
        self.change(id, next);
    }

    pub fn pass(&mut self) -> &'static str {
        let seconds = [1, 1, 5, 30, 90, 600];
        let step = Duration::from_secs(*seconds.choose(&mut *self.rng).unwrap());
        self.tick(step);
        "pass"
    }

    pub fn tick(&mut self, step: Duration) {
        self.now += step;
        self.wall_ms += step.as_millis() as u64;
        let wall_ms = self.wall_ms;
        self.observe(Event::Tick { wall_ms });
    }

    fn usage(&mut self) -> &'static str {
        let live: Vec<_> = self
            .machines
            .iter()
            .filter(|(_, m)| m.live)
            .map(|(name, _)| name.clone())
            .collect();
        if let Some(name) = live.choose(&mut *self.rng).cloned() {
            self.seen(&name);
        }
        "usage"
    }
}

/// The job that a proposal is about.
pub fn job_of(decision: &Decision) -> Option<u64> {
    match decision {
        Decision::Place { job, .. }
        | Decision::Reclaim { job, .. }
        | Decision::Fail { job, .. } => Some(*job),
        _ => None,
    }
}

/// Tells whether a reclaim is for want of permission, which stops any work.
pub fn is_forced(reason: &Reason) -> bool {
    matches!(
        reason,
        Reason::PlaceWithdrawn { .. } | Reason::AccountNotConfigured { .. }
    )
}

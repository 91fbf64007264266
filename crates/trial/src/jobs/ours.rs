use {
    super::{
        baseline::is_fragmented,
        floor::{Floor, Part},
        load::{Kind, Work},
        options::Options,
        outcome::{Outcome, Times},
        site::{config, guaranteed, workers},
    },
    gang::{Decision, Event, Scheduler},
    indexmap::IndexMap,
    model::{
        config::Config,
        job::{Attempt, Job, Member, State},
        worker::{Task, TaskState, Usage, Worker},
    },
    std::{
        cmp::Reverse,
        collections::BinaryHeap,
        time::{Duration, Instant},
    },
};

/// Time from a decision to its commit.
pub const COMMIT_MS: u64 = 10;

/// Time from the commit of a placement to the start of the gang.
pub const START_MS: u64 = 90;

/// Time between two checkpoints that a task writes by itself.
const CHECKPOINT_EVERY_MS: u64 = 60_000;

/// Something that happens at a time.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Happening {
    Arrival(usize),
    /// A decision is committed; the number is its position in the list of all decisions.
    Commit(usize),
    Start(usize, u32),
    End(usize, u32),
    Stopped(usize, u32),
    Usage,
    Tick,
}

/// The driver of one run.
struct Driver<'a> {
    works: &'a [Work],
    options: &'a Options,
    config: Config,
    scheduler: Scheduler,
    base: Instant,
    now: u64,
    order: u64,
    queue: BinaryHeap<Reverse<(u64, u64, Happening)>>,
    decisions: Vec<Option<Decision>>,
    jobs: Vec<Job>,
    left_ms: Vec<u64>,
    started_ms: Vec<u64>,
    names: IndexMap<String, Worker>,
    allowed: Vec<Vec<bool>>,
    floor: Floor,
    open: usize,
    arrived: usize,
    outcome: Outcome,
}

/// Runs the jobs by the gang scheduler.
pub fn run(works: &[Work], options: &Options) -> Outcome {
    let floor = Floor::new();
    let config = config();
    let mut driver = Driver {
        works,
        options,
        scheduler: Scheduler::new(options.settings.clone()),
        base: Instant::now(),
        now: 0,
        order: 0,
        queue: BinaryHeap::new(),
        decisions: Vec::new(),
        jobs: Vec::new(),
        left_ms: works.iter().map(|work| work.run_ms).collect(),
        started_ms: vec![0; works.len()],
        names: workers()
            .into_iter()
            .map(|worker| (worker.name.clone(), worker))
            .collect(),
        allowed: works
            .iter()
            .map(|work| floor.allowed(&config, &work.spec))
            .collect(),
        config,
        floor,
        open: works.len(),
        arrived: 0,
        outcome: Outcome {
            times: vec![Times::default(); works.len()],
            span_ms: works.last().map_or(0, |work| work.at_ms),
            ..Outcome::default()
        },
    };
    driver.run();
    driver.outcome.used /= 384.0 * driver.outcome.span_ms.max(1) as f64;
    driver.outcome
}

impl Driver<'_> {
    fn run(&mut self) {
        self.observe(Event::Tick { wall_ms: 0 });
        self.observe(Event::Configured(Box::new(self.config.clone())));
        self.announce();
        for (index, work) in self.works.iter().enumerate() {
            self.queue.push(Reverse((
                work.at_ms,
                index as u64,
                Happening::Arrival(index),
            )));
        }
        self.order = self.works.len() as u64;
        self.later(1000, Happening::Tick);
        self.later(5000, Happening::Usage);
        while self.open > 0 {
            let Some(Reverse((at, _, _))) = self.queue.peek().copied() else {
                break;
            };
            if at > self.outcome.span_ms + 48 * 3_600_000 {
                self.outcome
                    .broken
                    .push(format!("{} jobs never end", self.open));
                break;
            }
            self.account(at);
            self.now = at;
            while let Some(Reverse((_, _, happening))) = self
                .queue
                .peek()
                .copied()
                .filter(|Reverse((then, ..))| *then == at)
            {
                self.queue.pop();
                self.happen(happening);
            }
            self.decide();
        }
    }

    /// Counts use and fragmentation until `until`.
    fn account(&mut self, until: u64) {
        let until = until.min(self.outcome.span_ms);
        if until <= self.now {
            return;
        }
        let queued: Vec<_> = (0..self.arrived)
            .filter(|job| self.jobs[*job].state == State::Queued)
            .collect();
        let size = |job: usize| self.works[job].spec.shape.total_accelerators();
        let largest = queued.iter().copied().max_by_key(|job| size(*job));
        let fragmented =
            |job: usize| is_fragmented(&self.floor, &self.works[job], &self.allowed[job]);
        if largest.is_some_and(fragmented) {
            self.outcome.fragmented_ms += until - self.now;
        }
        let allowed = queued
            .iter()
            .copied()
            .filter(|job| self.is_within_quota(*job));
        if allowed.max_by_key(|job| size(*job)).is_some_and(fragmented) {
            self.outcome.fragmented_in_quota_ms += until - self.now;
        }
        let used = 384 - self.floor.total(&[true; 48]);
        self.outcome.used += f64::from(used) * (until - self.now) as f64;
    }

    fn is_within_quota(&self, job: usize) -> bool {
        let spec = &self.works[job].spec;
        let Some(quota) = self
            .config
            .accounts
            .get(&spec.account)
            .and_then(|a| a.quota)
        else {
            return true;
        };
        let held = self
            .jobs
            .iter()
            .filter(|other| other.state.holds() && other.spec.account == spec.account);
        let held: u32 = held
            .map(|other| other.spec.shape.total_accelerators())
            .sum();
        held + spec.shape.total_accelerators() <= quota
    }

    fn observe(&mut self, event: Event) {
        self.scheduler
            .observe(event, self.base + Duration::from_millis(self.now));
    }

    fn later(&mut self, after: u64, happening: Happening) {
        self.order += 1;
        self.queue
            .push(Reverse((self.now + after, self.order, happening)));
    }

    fn happen(&mut self, happening: Happening) {
        match happening {
            Happening::Arrival(job) => self.arrive(job),
            Happening::Commit(at) => {
                if let Some(decision) = self.decisions[at].take() {
                    self.commit(decision);
                }
            }
            Happening::Start(job, attempt) => self.start(job, attempt),
            Happening::End(job, attempt) => self.end(job, attempt),
            Happening::Stopped(job, attempt) => {
                if self.is_current(job, attempt, State::Stopping) {
                    self.give_back(job);
                    self.change(job, State::Queued);
                }
            }
            Happening::Usage => {
                self.announce();
                self.later(5000, Happening::Usage);
            }
            Happening::Tick => {
                let wall_ms = self.now;
                self.observe(Event::Tick { wall_ms });
                self.later(1000, Happening::Tick);
            }
        }
    }

    fn arrive(&mut self, id: usize) {
        let spec = self.works[id].spec.clone();
        // The guarantee is unused when neither a running gang counts under it nor another waits for it.
        let shape = guaranteed(&spec.account);
        let used = self.jobs.iter().any(|job| {
            let waits = job.state == State::Queued && job.spec.shape == shape;
            job.spec.account == spec.account && (waits || (job.state.holds() && !job.borrowed))
        });
        self.outcome.times[id].guaranteed = self.works[id].kind == Kind::Claim && !used;
        let job = Job {
            id: id as u64,
            spec,
            state: State::Queued,
            attempt: None,
            starts: 0,
            cancelled: false,
            borrowed: false,
            detail: String::new(),
            submitted_ms: self.now,
            changed_ms: self.now,
        };
        self.jobs.push(job.clone());
        self.arrived = self.jobs.len();
        self.observe(Event::JobAccepted(Box::new(job)));
    }

    fn decide(&mut self) {
        loop {
            let now = self.base + Duration::from_millis(self.now);
            let decisions = self.scheduler.decide(now);
            if decisions.is_empty() {
                return;
            }
            for decision in decisions {
                self.decisions.push(Some(decision));
                self.later(COMMIT_MS, Happening::Commit(self.decisions.len() - 1));
            }
        }
    }

    fn commit(&mut self, decision: Decision) {
        match decision {
            Decision::Place {
                job,
                members,
                borrowed,
            } => self.placed(job as usize, members, borrowed),
            Decision::Reclaim { job, .. } => self.reclaim(job as usize),
            Decision::Fail { job, reason } => {
                self.outcome
                    .broken
                    .push(format!("job {job} fails: {reason}"));
                self.change(job as usize, State::Failed);
                self.open -= 1;
            }
            _ => {}
        }
    }

    fn placed(&mut self, id: usize, members: Vec<Member>, borrowed: bool) {
        let shape = self.works[id].spec.shape.clone();
        let attempt = Attempt {
            number: self.jobs[id]
                .attempt
                .as_ref()
                .map_or(1, |last| last.number + 1),
            token: 0,
            members,
        };
        let parts = self.parts(&attempt);
        let size: u32 = parts.iter().map(|(_, mask)| mask.count_ones()).sum();
        if parts.len() != usize::from(shape.tasks) || size != shape.total_accelerators() {
            self.outcome
                .broken
                .push(format!("job {id} is placed in part"));
        }
        if parts.iter().any(|(worker, _)| !self.allowed[id][*worker]) {
            self.outcome
                .broken
                .push(format!("job {id} is placed outside its place"));
        }
        if !self.floor.hold(&parts) {
            self.outcome
                .broken
                .push(format!("job {id} shares an accelerator"));
        }
        let number = attempt.number;
        self.jobs[id].attempt = Some(attempt);
        self.jobs[id].borrowed = borrowed;
        self.change(id, State::Placed);
        self.later(START_MS, Happening::Start(id, number));
    }

    fn start(&mut self, id: usize, attempt: u32) {
        if !self.is_current(id, attempt, State::Placed) {
            return;
        }
        self.jobs[id].starts += 1;
        self.change(id, State::Starting);
        self.change(id, State::Running);
        self.started_ms[id] = self.now;
        self.outcome.times[id].start_ms.get_or_insert(self.now);
        self.later(self.left_ms[id], Happening::End(id, attempt));
    }

    fn end(&mut self, id: usize, attempt: u32) {
        if self.is_current(id, attempt, State::Running) {
            self.give_back(id);
            self.outcome.times[id].end_ms = Some(self.now);
            self.change(id, State::Done);
            self.open -= 1;
        }
    }

    /// A running gang writes a checkpoint and stops; work up to the order is kept.
    fn reclaim(&mut self, id: usize) {
        match self.jobs[id].state {
            State::Placed => {
                self.give_back(id);
                self.change(id, State::Queued);
            }
            State::Running => {
                self.outcome.reclaims += 1;
                self.left_ms[id] -= (self.now - self.started_ms[id]).min(self.left_ms[id]);
                let number = self.jobs[id]
                    .attempt
                    .as_ref()
                    .map_or(0, |attempt| attempt.number);
                self.change(id, State::Stopping);
                let checkpoint = self.options.checkpoint.as_millis() as u64;
                self.later(checkpoint, Happening::Stopped(id, number));
            }
            _ => {}
        }
    }

    fn is_current(&self, id: usize, attempt: u32, state: State) -> bool {
        let job = &self.jobs[id];
        job.state == state
            && job
                .attempt
                .as_ref()
                .is_some_and(|last| last.number == attempt)
    }

    fn change(&mut self, id: usize, state: State) {
        self.jobs[id].state = state;
        self.jobs[id].changed_ms = self.now;
        let job = Box::new(self.jobs[id].clone());
        self.observe(Event::JobChanged(job));
    }

    fn parts(&self, attempt: &Attempt) -> Vec<Part> {
        let part = |member: &Member| {
            let worker = self.names.get_index_of(&member.worker)?;
            Some((
                worker,
                member
                    .accelerators
                    .iter()
                    .fold(0, |mask, index| mask | 1 << index),
            ))
        };
        attempt.members.iter().filter_map(part).collect()
    }

    fn give_back(&mut self, id: usize) {
        if let Some(attempt) = &self.jobs[id].attempt {
            let parts = self.parts(attempt);
            self.floor.free(&parts);
        }
    }

    /// Every worker announces itself with the usage of its tasks.
    fn announce(&mut self) {
        let mut tasks: IndexMap<&str, Vec<Task>> = IndexMap::new();
        for job in self.jobs.iter().filter(|job| job.state == State::Running) {
            let since = (self.now - self.started_ms[job.id as usize]) % CHECKPOINT_EVERY_MS;
            for member in job.attempt.iter().flat_map(|attempt| &attempt.members) {
                tasks.entry(&member.worker).or_default().push(Task {
                    token: 0,
                    job: job.id,
                    task: member.task,
                    state: TaskState::Running,
                    usage: Usage {
                        cpus: 1.0,
                        memory_mb: 1024,
                        since_checkpoint_seconds: (since / 1000) as u32,
                    },
                    detail: String::new(),
                });
            }
        }
        let mut events = Vec::new();
        for worker in self.names.values() {
            events.push(Event::WorkerAnnounced {
                worker: Box::new(worker.clone()),
                tasks: tasks.swap_remove(worker.name.as_str()).unwrap_or_default(),
            });
        }
        for event in events {
            self.observe(event);
        }
    }
}

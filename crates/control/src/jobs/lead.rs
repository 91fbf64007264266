use {
    super::{
        Context,
        gang::{Failure, Gang},
    },
    crate::{state::Step, worker::Seen},
    ::gang::{Decision, Event, Reason, Scheduler},
    futures::future,
    indexmap::{IndexMap, IndexSet},
    model::{
        job::{Job, State},
        worker::TaskState,
    },
    std::{
        sync::{Arc, Mutex, MutexGuard, PoisonError},
        time::{Duration, Instant},
    },
    tokio::{
        sync::{Notify, mpsc},
        task::JoinHandle,
    },
};

/// Interval of the scheduler's ticks.
const TICK: Duration = Duration::from_millis(250);

/// A gang that is being carried out.
struct Running {
    token: u64,
    wake: Arc<Notify>,
    task: JoinHandle<()>,
}

/// What the leader of a region group knows and does about jobs in one term.
pub(super) struct Lead {
    context: Context,
    scheduler: Arc<Mutex<Scheduler>>,
    gangs: IndexMap<u64, Running>,
    config_number: u64,
    silent: IndexSet<String>,
    drained: IndexSet<String>,
    evacuated: Vec<String>,
    failures: mpsc::UnboundedReceiver<Failure>,
    failure_sender: mpsc::UnboundedSender<Failure>,
    last_tick: Option<Instant>,
}

impl Drop for Lead {
    fn drop(&mut self) {
        for running in self.gangs.values() {
            running.task.abort();
        }
    }
}

impl Lead {
    /// Rebuilds the scheduler from the replicated jobs and the announced workers.
    pub(super) fn new(context: Context, scheduler: Arc<Mutex<Scheduler>>) -> Lead {
        let now = context.clock.now();
        let settings = ::gang::Settings {
            regions: context.settings.regions.clone(),
            ..::gang::Settings::default()
        };
        let (failure_sender, failures) = mpsc::unbounded_channel();
        let mut lead = Lead {
            scheduler,
            gangs: IndexMap::new(),
            config_number: 0,
            silent: IndexSet::new(),
            drained: IndexSet::new(),
            evacuated: Vec::new(),
            failures,
            failure_sender,
            last_tick: None,
            context,
        };
        *lead.scheduler() = Scheduler::new(settings);
        lead.context.findings.reset();
        lead.configure(now);
        lead.context.registry.take_fresh();
        for seen in lead.context.registry.list() {
            lead.hear(&seen, now);
        }
        let jobs: Vec<Job> = {
            let mut jobs = lead.context.group.state().jobs();
            jobs.take_changed();
            jobs.iter()
                .filter(|job| !job.state.is_end())
                .cloned()
                .collect()
        };
        for job in jobs {
            lead.observe(Event::JobAccepted(Box::new(job.clone())), now);
            lead.carry_out(&job);
        }
        lead
    }

    fn scheduler(&self) -> MutexGuard<'_, Scheduler> {
        self.scheduler
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    fn observe(&self, event: Event, now: Instant) {
        if let Event::WorkerReturned { worker }
        | Event::WorkerProbed {
            worker,
            passed: true,
        } = &event
        {
            self.context.findings.quarantine(worker, false);
        }
        self.scheduler().observe(event, now);
    }

    /// One round: takes in what changed and, once `settled`, decides and commits the decisions.
    pub(super) async fn round(&mut self, settled: bool) {
        let now = self.context.clock.now();
        self.configure(now);
        self.hear_workers(now);
        self.drain(now);
        while let Ok(failure) = self.failures.try_recv() {
            let event = match failure {
                Failure::Task { job, worker } => Event::TaskFailed { job, worker },
                // It gets no new gang before it announces itself again.
                Failure::Reservation { worker } => Event::WorkerSilent { worker },
            };
            self.observe(event, now);
        }
        self.take_changes(now);
        if self.last_tick.is_none_or(|last| now - last >= TICK) {
            self.last_tick = Some(now);
            self.find_silent(now);
            let wall_ms = self.context.clock.wall_ms();
            self.observe(Event::Tick { wall_ms }, now);
            self.resume();
        }
        if !settled {
            return;
        }
        let decisions = self.scheduler().decide(now);
        self.commit(decisions, now).await;
    }

    fn configure(&mut self, now: Instant) {
        let Some(config) = self.context.follower.current(now) else {
            return;
        };
        if config.number != self.config_number {
            self.config_number = config.number;
            self.observe(Event::Configured(Box::new((*config).clone())), now);
            self.context.findings.configured(config.number);
        }
    }

    fn hear_workers(&mut self, now: Instant) {
        for seen in self.context.registry.take_fresh() {
            self.hear(&seen, now);
        }
    }

    /// Looks for workers that do not announce themselves any more. With 810 workers, doing so in each
    /// round took more than half of the leader's processor time.
    fn find_silent(&mut self, now: Instant) {
        let settings = &self.context.settings;
        for seen in self.context.registry.list() {
            let name = &seen.announcement.worker.name;
            let quiet = now.saturating_duration_since(seen.heard);
            if quiet > settings.lease_over() {
                log::warn!("event=worker_lost worker={name}");
                self.context.registry.remove(name);
                self.silent.shift_remove(name);
                self.observe(
                    Event::WorkerLost {
                        worker: name.clone(),
                    },
                    now,
                );
            } else if quiet > settings.silent_after && self.silent.insert(name.clone()) {
                log::warn!("event=worker_silent worker={name}");
                self.observe(
                    Event::WorkerSilent {
                        worker: name.clone(),
                    },
                    now,
                );
            }
        }
    }

    fn hear(&mut self, seen: &Seen, now: Instant) {
        let worker = seen.announcement.worker.clone();
        self.silent.shift_remove(&worker.name);
        for task in &seen.announcement.tasks {
            let ended = !matches!(task.state, TaskState::Reserved | TaskState::Running);
            if let Some(running) = self.gangs.get(&task.job)
                && running.token == task.token
                && ended
            {
                running.wake.notify_one();
            }
        }
        let event = Event::WorkerAnnounced {
            worker: Box::new(worker),
            tasks: seen.announcement.tasks.clone(),
        };
        self.observe(event, now);
    }

    fn drain(&mut self, now: Instant) {
        let (wanted, evacuated) = {
            let drains = self.context.group.state().drains();
            let evacuated: Vec<String> = drains.data_centres.keys().cloned().collect();
            (drains.workers.clone(), evacuated)
        };
        if evacuated != self.evacuated {
            log::info!(
                "event=data_centres_evacuated group={} names=\"{}\"",
                self.context.group.name(),
                evacuated.join(" ")
            );
            self.evacuated.clone_from(&evacuated);
            self.observe(Event::DataCentresEvacuated(evacuated), now);
        }
        if wanted == self.drained {
            return;
        }
        for worker in wanted.difference(&self.drained) {
            self.observe(
                Event::WorkerDrained {
                    worker: worker.clone(),
                },
                now,
            );
        }
        for worker in self.drained.difference(&wanted) {
            self.observe(
                Event::WorkerReturned {
                    worker: worker.clone(),
                },
                now,
            );
        }
        self.drained = wanted;
    }

    fn take_changes(&mut self, now: Instant) {
        let changed: Vec<Job> = {
            let mut jobs = self.context.group.state().jobs();
            let ids = jobs.take_changed();
            ids.iter().filter_map(|id| jobs.get(*id).cloned()).collect()
        };
        for job in changed {
            if job.cancelled {
                self.observe(Event::JobCancelled { job: job.id }, now);
            }
            let event = if job.attempt.is_none() && job.state == State::Queued {
                Event::JobAccepted(Box::new(job.clone()))
            } else {
                Event::JobChanged(Box::new(job.clone()))
            };
            self.observe(event, now);
            self.carry_out(&job);
        }
        self.gangs.retain(|_, running| !running.task.is_finished());
    }

    /// Carries on attempts whose task has ended, for example because the leader's lease ended for a moment.
    /// Nobody else would renew or stop them.
    fn resume(&mut self) {
        let left: Vec<Job> = {
            let jobs = self.context.group.state().jobs();
            let gangs = &self.gangs;
            jobs.iter()
                .filter(|job| job.state.holds())
                .filter(|job| {
                    gangs
                        .get(&job.id)
                        .is_none_or(|gang| gang.task.is_finished())
                })
                .cloned()
                .collect()
        };
        for job in left {
            self.carry_out(&job);
        }
    }

    /// Starts the task that carries out the job's attempt, or wakes the one that does.
    fn carry_out(&mut self, job: &Job) {
        let Some(attempt) = job.attempt.as_ref().filter(|_| job.state.holds()) else {
            if let Some(running) = self.gangs.get(&job.id) {
                running.wake.notify_one();
            }
            return;
        };
        if let Some(running) = self.gangs.get(&job.id)
            && running.token == attempt.token
            && !running.task.is_finished()
        {
            running.wake.notify_one();
            return;
        }
        let wake = Arc::new(Notify::new());
        let gang = Gang {
            context: self.context.clone(),
            id: job.id,
            token: attempt.token,
            wake: wake.clone(),
            failures: self.failure_sender.clone(),
        };
        let running = Running {
            token: attempt.token,
            wake,
            task: tokio::spawn(gang.run()),
        };
        self.gangs.insert(job.id, running);
    }

    async fn commit(&mut self, decisions: Vec<Decision>, now: Instant) {
        let mut steps = Vec::new();
        for decision in decisions {
            match decision {
                Decision::Place {
                    job,
                    members,
                    borrowed,
                } => {
                    steps.push(self.step(job, Step::Place { members, borrowed }));
                }
                Decision::Reclaim { job, reason } => steps.push(self.reclaim(job, &reason)),
                Decision::Fail { job, reason } => steps.push(self.step(
                    job,
                    Step::End {
                        state: State::Failed,
                        detail: reason.to_string(),
                    },
                )),
                Decision::Quarantine { worker } => {
                    log::warn!("event=worker_quarantined worker={worker}");
                    self.context.findings.quarantine(&worker, true);
                }
                Decision::Probe { worker } => self.probe(worker, now),
                Decision::ShortfallsChanged { shortfalls } => {
                    self.context.findings.owe(shortfalls.len());
                    for shortfall in &shortfalls {
                        log::warn!("event=guarantee_owed shortfall=\"{shortfall}\"");
                    }
                }
                Decision::Straggler { job, elapsed, p95 } => log::info!(
                    "event=straggler job={job} elapsed_s={} usual_s={}",
                    elapsed.as_secs(),
                    p95.as_secs()
                ),
            }
        }
        for (job, moved) in future::join_all(steps).await {
            if !moved {
                self.observe(Event::ProposalRejected { job }, now);
            }
        }
    }

    fn reclaim(&self, job: u64, reason: &Reason) -> future::BoxFuture<'static, (u64, bool)> {
        let state = self
            .context
            .group
            .state()
            .jobs()
            .get(job)
            .map(|job| job.state);
        let reason = reason.to_string();
        let step = match state {
            Some(State::Placed) => Step::Release { reason },
            Some(State::Queued) => Step::End {
                state: State::Failed,
                detail: reason,
            },
            _ => Step::Stop {
                reason,
                failed: false,
            },
        };
        self.step(job, step)
    }

    fn step(&self, id: u64, step: Step) -> future::BoxFuture<'static, (u64, bool)> {
        let context = self.context.clone();
        let job = context.group.state().jobs().get(id).cloned();
        Box::pin(async move {
            let moved = match job {
                Some(job) => context.advance(&job, step).await.is_some(),
                None => false,
            };
            (id, moved)
        })
    }

    /// A quarantined worker passes when it answers; its next failed job takes it out again.
    fn probe(&self, worker: String, now: Instant) {
        let passed = self.context.registry.get(&worker).is_some_and(|seen| {
            now.saturating_duration_since(seen.heard) < self.context.settings.silent_after
        });
        self.observe(Event::WorkerProbed { worker, passed }, now);
    }
}

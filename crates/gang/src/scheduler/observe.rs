use {
    super::Scheduler,
    crate::{Event, fleet::Machine},
    model::{
        config::Config,
        worker::{Task, Worker},
    },
    std::time::Instant,
};

impl Scheduler {
    /// Updates the scheduler with an event that happened at `now`.
    pub fn observe(&mut self, event: Event, now: Instant) {
        self.charge_accounts(now);
        // An announcement sets `dirty` itself if it changes anything.
        self.dirty |= !matches!(event, Event::WorkerAnnounced { .. });
        match event {
            Event::Configured(config) => self.on_configured(*config),
            Event::WorkerAnnounced { worker, tasks } => self.on_worker_announced(&worker, &tasks),
            Event::WorkerSilent { worker } | Event::WorkerLost { worker } => {
                self.update_machine(&worker, |machine| machine.live = false);
            }
            Event::WorkerDrained { worker } => {
                self.update_machine(&worker, |machine| machine.drained = true);
            }
            Event::WorkerReturned { worker } => {
                self.update_machine(&worker, |machine| {
                    machine.drained = false;
                    machine.quarantined = None;
                });
            }
            Event::DataCentresEvacuated(names) => {
                if self.fleet.set_evacuated(names) {
                    self.invalidate();
                }
            }
            Event::WorkerProbed { worker, passed } => {
                self.update_machine(&worker, |machine| machine.finish_probe(passed, now));
            }
            Event::JobAccepted(job) | Event::JobChanged(job) => self.update_job(&job, now),
            Event::JobCancelled { job } => self.on_cancelled(job),
            Event::TaskFailed { job, worker } => self.task_failed(job, &worker, now),
            Event::ProposalRejected { job } => self.on_rejected(job, now),
            Event::Tick { wall_ms } => self.wall_clock = Some((now, wall_ms)),
        }
    }

    /// Charges accelerator time since the last event to the accounts.
    fn charge_accounts(&mut self, now: Instant) {
        let seconds = self.charged_until.map_or(0.0, |last| {
            now.saturating_duration_since(last).as_secs_f64()
        });
        self.charged_until = Some(now);
        if seconds == 0.0 {
            return;
        }
        for (name, usage) in self.account_names.iter().zip(&mut self.usages) {
            let weight = self
                .config
                .accounts
                .get(name)
                .map_or(1, |account| account.weight.max(1));
            usage.weighted_seconds += f64::from(usage.held) * seconds / f64::from(weight);
        }
    }

    fn on_configured(&mut self, config: Config) {
        self.proof = self.proof.remap(&self.config, &config);
        self.config = config;
        self.invalidate();
        self.recheck_places = true;
    }

    /// Changes the condition of a worker and invalidates the proof if it enters or leaves service.
    fn update_machine(&mut self, worker: &str, change: impl FnOnce(&mut Machine)) {
        let index = self.intern(worker);
        let machine = self.fleet.machine_mut(index);
        let before = machine.in_service();
        change(machine);
        if machine.in_service() != before {
            if before {
                self.failures[index as usize].clear();
            }
            self.invalidate();
        }
    }

    /// Marks pinned work and the results of earlier placement attempts as out of date.
    pub(crate) fn invalidate(&mut self) {
        self.epoch += 1;
        self.pinned = None;
        self.dirty = true;
    }

    fn on_worker_announced(&mut self, worker: &Worker, tasks: &[Task]) {
        self.intern(&worker.name);
        if self.fleet.announce(worker) {
            self.rebuild_free_capacity();
            self.invalidate();
            self.recheck_places = true;
        }
        let Some(index) = self.fleet.find(&worker.name) else {
            return;
        };
        for task in tasks {
            self.update_task_usage(index, task);
        }
    }

    /// Raises the allocation of a task to its reported use where that exceeds what it declared.
    fn update_task_usage(&mut self, machine: u32, task: &Task) {
        let Some(record) = self.jobs.get_mut(&task.job) else {
            return;
        };
        let declared = (u32::from(record.shape.cpus), record.shape.memory_mb);
        record.since_checkpoint = record
            .since_checkpoint
            .max(task.usage.since_checkpoint_seconds);
        let Some(allocation) = record.allocations.get_mut(usize::from(task.task)) else {
            return;
        };
        if allocation.machine != machine {
            return;
        }
        let cpus = declared.0.max(task.usage.cpus.max(0.0).ceil() as u32);
        let memory_mb = declared.1.max(task.usage.memory_mb);
        if (allocation.cpus, allocation.memory_mb) != (cpus, memory_mb) {
            self.free_capacity.free(allocation);
            allocation.cpus = cpus;
            allocation.memory_mb = memory_mb;
            self.free_capacity.hold(allocation);
            self.epoch += 1;
            self.dirty = true;
            if !record.borrowed || !record.is_preemptible() {
                self.pinned = None;
            }
        }
    }
}

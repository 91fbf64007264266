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
    /// Takes one event into account.
    pub fn observe(&mut self, event: Event, now: Instant) {
        self.serve(now);
        // An announcement without news leaves nothing to decide; it says so itself if it has news.
        self.stirred |= !matches!(event, Event::WorkerAnnounced { .. });
        match event {
            Event::Configured(config) => self.configured(*config),
            Event::WorkerAnnounced { worker, tasks } => self.worker_seen(&worker, &tasks),
            Event::WorkerSilent { worker } | Event::WorkerLost { worker } => {
                self.condition(&worker, |machine| machine.live = false);
            }
            Event::WorkerDrained { worker } => {
                self.condition(&worker, |machine| machine.drained = true);
            }
            Event::WorkerReturned { worker } => {
                self.condition(&worker, |machine| {
                    machine.drained = false;
                    machine.quarantined = None;
                });
            }
            Event::WorkerProbed { worker, passed } => {
                self.condition(&worker, |machine| machine.probed(passed, now));
            }
            Event::JobAccepted(job) | Event::JobChanged(job) => self.job(&job, now),
            Event::JobCancelled { job } => self.cancelled(job),
            Event::TaskFailed { job, worker } => self.task_failed(job, &worker, now),
            Event::ProposalRejected { job } => self.rejected(job, now),
            Event::Tick { wall_ms } => self.wall = Some((now, wall_ms)),
        }
    }

    /// Charges the accelerator time since the last event to the accounts.
    fn serve(&mut self, now: Instant) {
        let seconds = self.served.map_or(0.0, |last| {
            now.saturating_duration_since(last).as_secs_f64()
        });
        self.served = Some(now);
        if seconds == 0.0 {
            return;
        }
        for (name, ledger) in self.names.iter().zip(&mut self.ledgers) {
            let weight = self
                .config
                .accounts
                .get(name)
                .map_or(1, |account| account.weight.max(1));
            ledger.served += f64::from(ledger.held) * seconds / f64::from(weight);
        }
    }

    fn configured(&mut self, config: Config) {
        self.proof = self.proof.remap(&self.config, &config);
        self.config = config;
        self.changed();
        self.recheck = true;
    }

    /// Changes the condition of a worker.
    fn condition(&mut self, worker: &str, change: impl FnOnce(&mut Machine)) {
        let index = self.intern(worker);
        let machine = self.fleet.machine_mut(index);
        let before = machine.in_service();
        change(machine);
        if machine.in_service() != before {
            if before {
                self.failures[index as usize].clear();
            }
            self.changed();
        }
    }

    /// The capacity in service or the rules changed.
    pub(crate) fn changed(&mut self) {
        self.epoch += 1;
        self.firm = None;
        self.stirred = true;
    }

    fn worker_seen(&mut self, worker: &Worker, tasks: &[Task]) {
        self.intern(&worker.name);
        if self.fleet.seen(worker) {
            self.rebuild_room();
            self.changed();
            self.recheck = true;
        }
        let Some(index) = self.fleet.find(&worker.name) else {
            return;
        };
        for task in tasks {
            self.usage(index, task);
        }
    }

    /// Charges a task what it uses where that is more than it declared.
    fn usage(&mut self, machine: u32, task: &Task) {
        let Some(record) = self.jobs.get_mut(&task.job) else {
            return;
        };
        let declared = (u32::from(record.shape.cpus), record.shape.memory_mb);
        record.since_checkpoint = record
            .since_checkpoint
            .max(task.usage.since_checkpoint_seconds);
        let Some(part) = record.parts.get_mut(usize::from(task.task)) else {
            return;
        };
        if part.machine != machine {
            return;
        }
        let cpus = declared.0.max(task.usage.cpus.max(0.0).ceil() as u32);
        let memory_mb = declared.1.max(task.usage.memory_mb);
        if (part.cpus, part.memory_mb) != (cpus, memory_mb) {
            self.room.free(part);
            part.cpus = cpus;
            part.memory_mb = memory_mb;
            self.room.hold(part);
            self.epoch += 1;
            self.stirred = true;
            if !record.borrowed || !record.is_stoppable() {
                self.firm = None;
            }
        }
    }
}

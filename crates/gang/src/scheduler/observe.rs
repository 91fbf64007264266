use {
    super::Scheduler,
    crate::Event,
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
        match event {
            Event::Configured(config) => self.configured(*config),
            Event::WorkerSeen { worker, tasks } => self.worker_seen(&worker, &tasks),
            Event::WorkerSilent { worker } | Event::WorkerLost { worker } => {
                let index = self.intern(&worker);
                self.fleet.machine_mut(index).live = false;
            }
            Event::WorkerDrained { worker } => {
                let index = self.intern(&worker);
                self.fleet.machine_mut(index).drained = true;
            }
            Event::WorkerReturned { worker } => {
                let index = self.intern(&worker);
                let machine = self.fleet.machine_mut(index);
                machine.drained = false;
                machine.quarantined = None;
            }
            Event::Probed { worker, passed } => self.probed(&worker, passed),
            Event::Accepted(job) | Event::Changed(job) => self.job(&job, now),
            Event::Cancelled { job } => self.cancelled(job),
            Event::TaskFailed { job, worker } => self.task_failed(job, &worker),
            Event::Rejected { job } => self.rejected(job, now),
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
        self.config = config;
    }

    fn worker_seen(&mut self, worker: &Worker, tasks: &[Task]) {
        self.intern(&worker.name);
        if self.fleet.seen(worker) {
            self.rebuild_room();
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
        }
    }

    fn probed(&mut self, worker: &str, passed: bool) {
        let index = self.intern(worker);
        if passed {
            self.fleet.machine_mut(index).quarantined = None;
        }
    }
}

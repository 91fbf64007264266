use {
    super::{
        common::{guarantee, shape},
        setup::settings,
        world::World,
    },
    gang::{Event, Scheduler},
    model::{job::State, shape::Adjacency},
    rand::{RngExt, seq::IndexedRandom},
};

const REGION: &str = "north";

/// Failures, cancellations, losses, notes and changes of leader.
impl World {
    pub fn fail(&mut self) -> &'static str {
        let running: Vec<_> = self
            .jobs
            .values()
            .filter(|job| job.state == State::Running)
            .map(|job| job.id)
            .collect();
        let Some(id) = running.choose(&mut *self.rng).copied() else {
            return "nothing";
        };
        let member = self.jobs[&id].attempt.as_ref().unwrap().members[0].clone();
        if let Some(machine) = self.machines.get_mut(&member.worker) {
            machine.failed.insert(id);
        }
        self.observe(Event::TaskFailed {
            job: id,
            worker: member.worker,
        });
        self.change(id, State::Stopping);
        "fail"
    }

    pub fn cancel(&mut self, count: usize) -> &'static str {
        for _ in 0..count {
            let open: Vec<_> = self
                .jobs
                .values()
                .filter(|job| !job.state.is_end() && !job.cancelled)
                .map(|job| job.id)
                .collect();
            let Some(id) = open.choose(&mut *self.rng).copied() else {
                break;
            };
            let job = self.jobs.get_mut(&id).unwrap();
            job.cancelled = true;
            let state = job.state;
            self.observe(Event::JobCancelled { job: id });
            match state {
                // The transition of a queued job is sometimes reported later.
                State::Queued if self.rng.random_bool(0.5) => {}
                State::Queued | State::Placed => self.change(id, State::Cancelled),
                State::Starting | State::Running => self.change(id, State::Stopping),
                _ => {}
            }
        }
        "cancel"
    }

    pub fn leave(&mut self) -> &'static str {
        let names: Vec<_> = self.machines.keys().cloned().collect();
        let name = names.choose(&mut *self.rng).unwrap().clone();
        match self.rng.random_range(0..3) {
            0 => self.drain(&name),
            1 => {
                self.machines.get_mut(&name).unwrap().live = false;
                self.observe(Event::WorkerSilent { worker: name });
            }
            _ => self.lose(&name),
        }
        "leave"
    }

    fn drain(&mut self, name: &str) {
        self.machines.get_mut(name).unwrap().drained = true;
        self.observe(Event::WorkerDrained {
            worker: name.into(),
        });
    }

    /// A worker is gone: its gangs are stopped everywhere.
    fn lose(&mut self, name: &str) {
        self.machines.get_mut(name).unwrap().live = false;
        self.observe(Event::WorkerLost {
            worker: name.into(),
        });
        let hit: Vec<_> = self
            .jobs
            .values()
            .filter(|job| matches!(job.state, State::Starting | State::Running))
            .filter(|job| {
                job.attempt
                    .iter()
                    .flat_map(|a| &a.members)
                    .any(|m| m.worker == name)
            })
            .map(|job| job.id)
            .collect();
        for id in hit {
            self.change(id, State::Stopping);
        }
    }

    pub fn back(&mut self) -> &'static str {
        let away: Vec<_> = self
            .machines
            .iter()
            .filter(|(_, machine)| !machine.in_service())
            .map(|(name, _)| name.clone())
            .collect();
        if let Some(name) = away.choose(&mut *self.rng).cloned() {
            self.restore(&name);
        }
        "back"
    }

    pub fn restore(&mut self, name: &str) {
        let machine = self.machines.get_mut(name).unwrap();
        machine.drained = false;
        machine.quarantined = false;
        machine.failed.clear();
        self.observe(Event::WorkerReturned {
            worker: name.into(),
        });
        self.seen(name);
    }

    pub fn lose_rack(&mut self) -> &'static str {
        let rack = [("a", "r0"), ("a", "r1"), ("b", "r0"), ("b", "r1")];
        let (centre, rack) = *rack.choose(&mut *self.rng).unwrap();
        let names: Vec<_> = self
            .machines
            .values()
            .filter(|m| m.worker.site.data_centre == centre && m.worker.rack == rack)
            .map(|m| m.worker.name.clone())
            .collect();
        for name in names {
            self.lose(&name);
        }
        "lose rack"
    }

    /// An operator submits a note; it is applied if `check` accepts it.
    pub fn note(&mut self) -> &'static str {
        let mut next = self.config.clone();
        next.number += 1;
        let index = self.rng.random_range(0..next.accounts.len());
        let (name, account) = next.accounts.get_index_mut(index).unwrap();
        let name = name.clone();
        match self.rng.random_range(0..5) {
            0 => account.places = vec![format!("{REGION}/a").parse().unwrap()],
            1 => account.places = vec![REGION.parse().unwrap()],
            2 => account.quota = Some(self.rng.random_range(12..60)),
            3 => account.quota = None,
            _ => {
                let count = self.rng.random_range(1..3);
                let shape = shape(self.rng.random_range(1..3), 4, Adjacency::Rack);
                account
                    .guarantees
                    .insert("extra".into(), guarantee(shape, count, "north/a"));
            }
        }
        account
            .guarantees
            .retain(|_, g| account.places.iter().any(|p| p.covers(&g.place)));
        if self.rng.random_bool(0.1) && name != "idle" {
            next.accounts.shift_remove("idle");
        }
        if self.scheduler.check(&next).is_ok() {
            self.config = next;
            self.observe(Event::Configured(Box::new(self.config.clone())));
        }
        "note"
    }

    /// A new leader starts from the replicated state and the announcements alone.
    pub fn take_over(&mut self) -> &'static str {
        self.flight.clear();
        self.asked.clear();
        self.heard.clear();
        self.scheduler = Scheduler::new(settings());
        if let Some(fault) = self.fault {
            self.scheduler.inject(fault);
        }
        let wall_ms = self.wall_ms;
        self.observe(Event::Tick { wall_ms });
        self.observe(Event::Configured(Box::new(self.config.clone())));
        for job in self.jobs.clone().into_values() {
            self.observe(Event::JobAccepted(Box::new(job)));
        }
        for (name, machine) in self.machines.clone() {
            self.machines.get_mut(&name).unwrap().quarantined = false;
            self.machines.get_mut(&name).unwrap().failed.clear();
            if machine.drained {
                self.observe(Event::WorkerDrained {
                    worker: name.clone(),
                });
            }
            if machine.live {
                self.seen(&name);
            }
        }
        "take over"
    }
}

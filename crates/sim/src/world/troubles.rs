use {
    super::{World, happening::Happening},
    crate::{Nature, Trouble},
    work::{
        id,
        registry::{Answer, Command, Instruction, Order},
        upstream::Outcome,
    },
};

/// Time that a draining upstream says is left, in milliseconds; it stays for good in this model.
const DRAIN_MS: u64 = 60_000;

/// Events of the day.
impl World {
    pub(super) fn trouble(&mut self, trouble: Trouble) {
        log::debug!(
            "event=model_trouble at={:.0} trouble=\"{trouble:?}\"",
            self.now_ms
        );
        match trouble {
            Trouble::NewLeader => {
                self.term += 1;
                self.take_over();
            }
            Trouble::FrozenLeader(for_ms, on_ms) => self.freezing = Some((for_ms, on_ms)),
            Trouble::IsolatedLeader(on_ms, with) => self.isolate(on_ms, with),
            Trouble::AllKilled => {
                self.forget_starts();
                self.trouble(Trouble::NewLeader);
            }
            Trouble::Reborn(id) if self.departing.contains(&id) => {}
            Trouble::Reborn(id) => {
                self.lose(&id);
                self.oracle.lost(&id);
            }
            Trouble::Cut(id, for_ms) => {
                self.cut.insert(id.clone(), true);
                self.at(self.now_ms + for_ms as f64, Happening::Mend(id));
            }
            Trouble::Failing(id, for_ms) => self.change(id, Nature::Failing, for_ms),
            Trouble::Hanging(id, for_ms) => self.change(id, Nature::Hanging, for_ms),
            Trouble::Slow(id, factor) => self.change(id, Nature::Slow(factor), 8000),
            Trouble::Cold(id, factor, for_ms) => {
                self.cold.insert(id.clone(), self.now_ms + for_ms as f64);
                self.change(id, Nature::Slow(factor), for_ms);
                self.hear_upstreams();
            }
            Trouble::Draining(id) => self.drain(&id, DRAIN_MS),
            Trouble::Departing(id, after_ms, farewell, runs_on_ms) => {
                self.announce_departure(id, after_ms, farewell, runs_on_ms);
            }
            Trouble::Leaving(id, after_ms) => {
                self.drain(&id, after_ms);
                let at_ms = self.now_ms + after_ms as f64;
                self.at(at_ms, Happening::Trouble(Trouble::Gone(id)));
            }
            Trouble::Gone(id) => {
                self.trouble(Trouble::Reborn(id.clone()));
                self.cut.insert(id, true);
            }
            Trouble::Evacuate(data_centre) => self.order(data_centre, Order::Evacuate),
            Trouble::Readmit(data_centre) => self.order(data_centre, Order::Readmit),
            Trouble::Cancel(job) => {
                let at_ms = self.now_ms as u64;
                if self.book.apply(Command::Cancel { at_ms, job }) == Answer::Cancelled {
                    self.oracle.cancelled(job, at_ms);
                }
                self.step(Vec::new());
            }
        }
    }

    /// An operator's order about a data centre, which no other order precedes on its way.
    fn order(&mut self, data_centre: String, order: Order) {
        let at_ms = self.now_ms as u64;
        let instruction = Instruction {
            order,
            after: self.book.evacuations().number(),
            resend_ms: self.setup.settings.order_resend.as_millis() as u64,
        };
        let answer = self.book.apply(Command::Evacuate {
            at_ms,
            data_centre: data_centre.clone(),
            instruction,
        });
        match order {
            _ if answer != Answer::Done => {}
            Order::Evacuate => self.oracle.evacuated(data_centre, at_ms),
            Order::Readmit => self.oracle.readmitted(&data_centre),
        }
        self.step(Vec::new());
    }

    /// An upstream ends with all that it runs.
    pub(super) fn lose(&mut self, id: &id::Upstream) {
        let now_ms = self.now_ms;
        let Some(upstream) = self.upstreams.get_mut(id) else {
            return;
        };
        let gone: Vec<(id::Task, u32)> = upstream.runs.keys().copied().collect();
        let ends = std::mem::take(&mut upstream.ends);
        let lost = upstream.reborn(now_ms);
        for end in ends.iter().filter(|end| end.how == Outcome::Done) {
            self.forget_unless_noted(&end.task);
            self.oracle.lost_end(end.task);
        }
        for (task, run) in lost {
            self.charge(&task, &run, Outcome::Lapsed, now_ms);
        }
        for key in gone {
            if self.book.step(&key.0).is_some_and(|step| step.gang) {
                for (other, member) in self.members(key, true) {
                    self.end(&other, member, Outcome::Broken);
                }
            }
        }
    }

    pub(super) fn drain(&mut self, id: &id::Upstream, for_ms: u64) {
        let number = self.upstreams.get_index_of(id).unwrap_or(0);
        if let Some(model) = self.upstreams.get(id).cloned() {
            self.register(&model, Some(for_ms), number);
            self.oracle.draining(id.clone(), self.now_ms as u64);
            self.step(Vec::new());
        }
    }

    pub(super) fn change(&mut self, id: id::Upstream, nature: Nature, for_ms: u64) {
        let now_ms = self.now_ms;
        if let Some(upstream) = self.upstreams.get_mut(&id) {
            upstream.set_nature(nature, now_ms);
        }
        if nature == Nature::Hanging
            && let Some(upstream) = self.upstreams.get_mut(&id)
        {
            for run in upstream.runs.values_mut() {
                run.done_ms = run.done_at(now_ms);
                run.since_ms = None;
            }
        }
        self.at(self.now_ms + for_ms as f64, Happening::Mend(id));
    }

    /// Lets runs go on that stood still.
    pub(super) fn refresh_work(&mut self, id: &id::Upstream) {
        let keys: Vec<(id::Task, u32)> = match self.upstreams.get(id) {
            Some(upstream) => upstream
                .runs
                .iter()
                .filter(|(_, run)| run.since_ms.is_none())
                .map(|(key, _)| *key)
                .collect(),
            None => return,
        };
        for key in keys {
            self.gather(key);
        }
    }
}

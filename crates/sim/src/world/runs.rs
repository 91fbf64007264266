use {
    super::{World, happening::Happening},
    crate::{
        Breach, Nature, Trouble, Truth,
        upstream::{Run, saved_ms},
    },
    indexmap::IndexMap,
    plan::engine::{Refusal, Start},
    work::{id, upstream::Outcome},
};

/// Time from the start of a task that crashes its upstream to the crash, in milliseconds.
const CRASH_MS: f64 = 10.0;

/// What runs on the upstreams.
impl World {
    pub(super) fn start(
        &mut self,
        id: &id::Upstream,
        order: &Start,
        token: u64,
        late: bool,
    ) -> Result<Option<u64>, Refusal> {
        let now_ms = self.now_ms;
        let upstream = self.upstreams.get_mut(id).ok_or(Refusal::OtherLife)?;
        let clock = Some(upstream.clock_ms(now_ms));
        if self.setup.advice_valid_ms.is_some() && order.ticket.is_none() {
            self.oracle.breaches.push(Breach::Unpermitted(order.task));
            return Err(Refusal::Ticket);
        }
        if !upstream.start(order, token, now_ms)? {
            return Ok(clock);
        }
        let job = self.book.job(order.task.job).ok_or(Refusal::Malformed)?;
        let arrival = self
            .arrivals
            .get(&order.task.job)
            .ok_or(Refusal::Malformed)?;
        let step = job.step(&order.task).ok_or(Refusal::Malformed)?;
        let truth: &Truth = &arrival.truth;
        let is_deadly = truth.deadly;
        let saved = saved_ms(&order.checkpoint);
        let far = self.is_far(id, order);
        let factor = if far {
            self.setup.settings.far_factor
        } else {
            1.0
        };
        let work = truth.work_of(job, &order.task) as f64 * factor;
        let planned = truth
            .failures
            .get(usize::from(order.task.step))
            .copied()
            .unwrap_or(0);
        let before = self.book.progress(&order.task).map_or(0, |progress| {
            progress.gang_failures.max(
                progress
                    .tasks
                    .get(usize::from(order.task.index))
                    .map_or(0, |task| task.failures),
            )
        });
        let is_faulty_member = !step.gang || order.task.index == 0;
        let fails = truth.hopeless || (before < planned && is_faulty_member);
        let run = Run {
            work_ms: work,
            done_ms: saved.min(work),
            since_ms: None,
            begun_ms: now_ms,
            fails_at: fails.then_some(work / 2.0),
            room: step.reserved(),
            saves: step.checkpoints,
            resumed_ms: saved,
            stops_at: None,
        };
        let key = (order.task, order.run);
        log::debug!(
            "event=model_start at={now_ms:.0} task={} run={} upstream={id} late={late} token={token}",
            order.task,
            order.run
        );
        self.forget_lapsed_end(&order.task);
        if let Some(upstream) = self.upstreams.get_mut(id) {
            upstream.runs.insert(key, run);
            let room = upstream.room();
            let known = self.oracle.breaches.len();
            self.oracle
                .begun(&self.book, id, order.task, room, late, now_ms as u64);
            // Rules with a time bound hold for senders in touch, and an end that was lost unreleased does not bind what
            // an earlier leader had decided.
            if token >> 32 != self.term {
                let is_excused = |breach: &Breach| match breach {
                    Breach::Unasked(_) | Breach::Drained(_) | Breach::Evacuated(_) => true,
                    Breach::Again(task) => self.oracle.is_end_lost(task),
                    _ => false,
                };
                let found = &self.oracle.breaches[known..];
                let kept = found.iter().filter(|breach| !is_excused(breach));
                let kept: Vec<Breach> = kept.cloned().collect();
                self.oracle.breaches.truncate(known);
                self.oracle.breaches.extend(kept);
            }
        }
        if is_deadly && order.task.index == 0 {
            let at_ms = now_ms + CRASH_MS;
            self.at(at_ms, Happening::Trouble(Trouble::Reborn(id.clone())));
        }
        self.first_starts.entry(order.task.job).or_insert(now_ms);
        self.gather(key);
        Ok(clock)
    }

    pub(super) fn forget_unless_noted(&mut self, task: &id::Task) {
        if !self.book.task(task).is_some_and(|task| task.done) {
            self.oracle.forget_done(task);
        }
    }

    /// Called before an order that may extend the lease: if it has ended, the ends that were not taken note of before
    /// do not bind any more, whatever follows.
    pub(super) fn note_lapse(&mut self, id: &id::Upstream) {
        let now_ms = self.now_ms;
        let lapsed = self
            .upstreams
            .get(id)
            .filter(|upstream| upstream.clock_ms(now_ms) > upstream.lease_ms);
        let ends = lapsed
            .map(|upstream| upstream.ends.clone())
            .unwrap_or_default();
        for end in ends.iter().filter(|end| end.how == Outcome::Done) {
            self.forget_unless_noted(&end.task);
        }
    }

    /// An end that was not taken note of before its upstream's lease ended does not bind any more.
    pub(super) fn forget_lapsed_end(&mut self, task: &id::Task) {
        let now_ms = self.now_ms;
        let lapsed = self.upstreams.values().any(|upstream| {
            let mut ends = upstream.ends.iter();
            upstream.clock_ms(now_ms) > upstream.lease_ms
                && ends.any(|end| end.task == *task && end.how == Outcome::Done)
        });
        if lapsed {
            self.forget_unless_noted(task);
        }
    }

    /// Whether a gang that wants one rack is spread. The tasks have no data of their own in this model.
    pub(super) fn is_far(&self, id: &id::Upstream, order: &Start) -> bool {
        let Some(step) = self.book.step(&order.task) else {
            return false;
        };
        let rack = |id: &id::Upstream| self.book.upstream(id).map(|upstream| upstream.rack.clone());
        let Some(progress) = self.book.progress(&order.task) else {
            return false;
        };
        let runs = progress.tasks.iter().flat_map(|task| &task.live);
        let mut racks = runs
            .filter(|run| run.number == order.run)
            .map(|run| rack(&run.upstream));
        step.gang && step.same_rack && racks.any(|other| other != rack(id))
    }

    /// Lets a task work, or a gang once all its members are there.
    pub(super) fn gather(&mut self, key: (id::Task, u32)) {
        let Some(step) = self.book.step(&key.0) else {
            return;
        };
        let (gang, count) = (step.gang, usize::from(step.count));
        let now_ms = self.now_ms;
        let members = self.members(key, gang);
        if gang && members.len() < count {
            return;
        }
        for (id, member) in members {
            if let Some(upstream) = self.upstreams.get_mut(&id)
                && let Some(run) = upstream.runs.get_mut(&member)
            {
                let works = upstream.nature != Nature::Hanging;
                let factor = match upstream.nature {
                    Nature::Slow(factor) => factor * upstream.pace,
                    _ => upstream.pace,
                };
                run.work_ms *= factor;
                run.fails_at = run.fails_at.map(|at| at * factor);
                if upstream.nature == Nature::Failing {
                    run.fails_at = Some(run.done_ms + 300.0);
                }
                run.since_ms = works.then_some(now_ms);
            }
        }
    }

    pub(super) fn members(
        &self,
        key: (id::Task, u32),
        gang: bool,
    ) -> Vec<(id::Upstream, (id::Task, u32))> {
        let same = |other: &(id::Task, u32)| {
            *other == key
                || (gang
                    && other.1 == key.1
                    && other.0.job == key.0.job
                    && other.0.occurrence == key.0.occurrence
                    && other.0.step == key.0.step)
        };
        let all = self.upstreams.iter();
        all.flat_map(|(id, upstream)| {
            let runs = upstream.runs.keys().filter(|run| same(run));
            runs.map(|run| (id.clone(), *run)).collect::<Vec<_>>()
        })
        .collect()
    }

    /// Ends what is due on the upstreams.
    pub(super) fn watch(&mut self) {
        let now_ms = self.now_ms;
        let gang_ms = self.setup.settings.gang_timeout.as_secs_f64() * 1000.0;
        let mut due: Vec<(id::Upstream, (id::Task, u32), Outcome)> = Vec::new();
        for (id, upstream) in &self.upstreams {
            let lapsed = !upstream.runs.is_empty() && upstream.clock_ms(now_ms) > upstream.lease_ms;
            for (key, run) in &upstream.runs {
                let done = run.done_at(now_ms);
                let lasts = self.book.step(&key.0).is_some_and(|step| step.lasting);
                let how = if lapsed {
                    Outcome::Lapsed
                } else if run.stops_at.is_some_and(|at| now_ms >= at) {
                    Outcome::Stopped
                } else if run
                    .fails_at
                    .is_some_and(|at| run.since_ms.is_some() && done >= at)
                {
                    Outcome::Failed
                } else if !lasts && run.since_ms.is_some() && done >= run.work_ms {
                    Outcome::Done
                } else if run.since_ms.is_none()
                    && upstream.nature != Nature::Hanging
                    && now_ms > run.begun_ms + gang_ms
                {
                    Outcome::Alone
                } else {
                    continue;
                };
                due.push((id.clone(), *key, how));
            }
        }
        // Without speeds of their own, a gang ends with its first member, so that the days of fixed seeds stay the same.
        if !self.setup.speeds.is_empty() {
            self.retain_whole_gangs(&mut due);
        }
        self.observe_lasting();
        for (id, key, how) in due {
            self.end(&id, key, how);
        }
    }

    /// Tells the oracle which tasks that last are at work.
    fn observe_lasting(&mut self) {
        let now_ms = self.now_ms;
        let mut tasks: Vec<id::Task> = Vec::new();
        for job in self.book.open_jobs() {
            let steps = job.form.steps.iter().enumerate();
            for (number, step) in steps.filter(|(_, step)| step.lasting) {
                tasks.extend((0..step.count).map(|index| id::Task {
                    job: job.id,
                    occurrence: 0,
                    step: number as u16,
                    index,
                }));
            }
        }
        for task in tasks {
            let runs = self.upstreams.values().flat_map(|upstream| &upstream.runs);
            let is_at_work = runs
                .filter(|((other, _), _)| *other == task)
                .any(|(_, run)| run.since_ms.is_some() && run.done_at(now_ms) >= run.work_ms);
            self.oracle.observe_lasting(task, is_at_work, now_ms as u64);
        }
    }

    /// Removes members of gangs that wait for others to finish: a gang is done when its slowest member is.
    fn retain_whole_gangs(&self, due: &mut Vec<(id::Upstream, (id::Task, u32), Outcome)>) {
        let step_of = |key: &(id::Task, u32)| (id::Task { index: 0, ..key.0 }, key.1);
        let mut done: IndexMap<(id::Task, u32), usize> = IndexMap::new();
        for (_, key, how) in due.iter() {
            if *how == Outcome::Done {
                *done.entry(step_of(key)).or_default() += 1;
            }
        }
        due.retain(|(_, key, how)| {
            let step = self.book.step(&key.0).filter(|step| step.gang);
            *how != Outcome::Done
                || step.is_none_or(|step| done[&step_of(key)] >= usize::from(step.count))
        });
    }

    pub(super) fn end(&mut self, id: &id::Upstream, key: (id::Task, u32), how: Outcome) {
        let now_ms = self.now_ms;
        let Some(upstream) = self.upstreams.get_mut(id) else {
            return;
        };
        let Some((end, run)) = upstream.end(key, how, now_ms) else {
            return;
        };
        log::debug!(
            "event=model_end at={now_ms:.0} task={} run={} upstream={id} how={how}",
            key.0,
            key.1
        );
        let calm = self.setup.troubles.is_empty()
            && self.setup.faults.lost + self.setup.faults.late + self.setup.faults.unanswered
                == 0.0;
        self.oracle.ended(id, &end, !calm);
        if how == Outcome::Stopped
            && let Some(step) = self.book.step(&key.0).filter(|step| step.lasting)
        {
            let is_at_work = run.since_ms.is_some() && run.done_at(now_ms) >= run.work_ms;
            let leaves = self.book.upstream(id).is_none_or(|known| known.draining);
            let counts = is_at_work && !leaves && !self.late_stops.contains(&key);
            self.oracle
                .stopped_lasting(key.0, step.spare, counts, now_ms as u64);
        }
        self.charge(&key.0, &run, how, now_ms);
        if self.waiting.contains_key(id) {
            self.answer_hold(id);
        }
        let gang = self.book.step(&key.0).is_some_and(|step| step.gang);
        if gang {
            let how = if how == Outcome::Done {
                Outcome::Done
            } else {
                Outcome::Broken
            };
            for (other, member) in self.members(key, true) {
                if member != key {
                    self.end(&other, member, how);
                }
            }
        }
    }

    pub(super) fn charge(&mut self, task: &id::Task, run: &Run, how: Outcome, now_ms: f64) {
        let spent =
            (run.done_at(now_ms) - run.resumed_ms).max(0.0) / 1000.0 * run.room.core_equivalents();
        let saved =
            (run.saved_at(now_ms, how == Outcome::Stopped) - run.resumed_ms).max(0.0) / 1000.0;
        let kept = saved * run.room.core_equivalents();
        match how {
            Outcome::Done => self.report.useful += spent,
            Outcome::Failed => {}
            _ => {
                self.report.useful += kept;
                let wasted = (spent - kept).max(0.0);
                self.report.waste += wasted;
                let queue = self.book.job(task.job).map(|job| job.queue.clone());
                let key = (queue.unwrap_or_default(), how);
                *self.report.wasted.entry(key).or_default() += wasted;
            }
        }
    }
}

use {
    super::Scheduler,
    crate::{
        fault::Fault,
        fleet::{Mask, Part},
        record::{Ledger, Phase, Record},
    },
    model::job::{Job, State},
    std::time::{Duration, Instant},
};

impl Scheduler {
    /// A job was accepted or changed.
    pub(crate) fn job(&mut self, job: &Job, now: Instant) {
        if self.wall.is_none() {
            self.wall = Some((now, job.changed_ms.max(job.submitted_ms)));
        }
        if job.state.is_end() {
            self.end(job, now);
            return;
        }
        if !self.jobs.contains_key(&job.id) {
            self.enter(job, now);
        }
        if job.state != State::Queued {
            self.dequeue(job.id);
        }
        let Some(record) = self.jobs.get_mut(&job.id) else {
            return;
        };
        let earlier = record.state;
        record.state = job.state;
        record.starts = job.starts;
        record.changed_ms = job.changed_ms;
        record.cancelled = job.cancelled;
        match job.state {
            State::Queued => self.queued(job, earlier, now),
            _ => self.held(job, earlier, now),
        }
    }

    fn enter(&mut self, job: &Job, now: Instant) {
        let (account, new) = self.names.insert_full(job.spec.account.clone());
        if new {
            self.ledgers.push(Ledger::default());
        }
        if self.ledgers[account].jobs == 0 {
            // An account that was idle starts level with the others instead of with a credit.
            let active = self.ledgers.iter().filter(|ledger| ledger.jobs > 0);
            let least = active
                .map(|ledger| ledger.served)
                .fold(f64::INFINITY, f64::min);
            let ledger = &mut self.ledgers[account];
            if least.is_finite() {
                ledger.served = ledger.served.max(least);
            }
        }
        self.ledgers[account].jobs += 1;
        let mut record = Record::new(account as u32, &job.spec);
        record.submitted_ms = job.submitted_ms;
        record.state = State::Queued;
        record.cancelled = job.cancelled;
        record.starts = job.starts;
        record.changed_ms = job.changed_ms;
        self.jobs.insert(job.id, record);
        let since = self
            .wall_at(now)
            .unwrap_or(0)
            .saturating_sub(job.changed_ms);
        let wait = self
            .backoff(job.starts)
            .saturating_sub(Duration::from_millis(since));
        self.requeue(job.id, wait, now);
    }

    /// Wait before a job is tried again after `starts` attempts.
    fn backoff(&self, starts: u32) -> Duration {
        if starts == 0 {
            return Duration::ZERO;
        }
        let doubled = self.settings.backoff_min * 2u32.saturating_pow((starts - 1).min(16));
        doubled.min(self.settings.backoff_max)
    }

    /// Puts a job into its queue.
    pub(crate) fn enqueue(&mut self, id: u64) {
        if let Some(record) = self.jobs.get_mut(&id) {
            record.phase = Phase::Queued;
            let key = (record.submitted_ms, id);
            self.queue
                .insert(record.account, record.class, &record.ask(), key);
        }
    }

    /// Takes a job out of its queue or wait.
    pub(crate) fn dequeue(&mut self, id: u64) {
        if let Some(record) = self.jobs.get(&id) {
            let key = (record.submitted_ms, id);
            match record.phase {
                Phase::Queued => {
                    self.queue
                        .remove(record.account, record.class, &record.ask(), key)
                }
                Phase::Waiting(due) => self.queue.unwait(due, id),
                _ => {}
            }
        }
    }

    fn queued(&mut self, job: &Job, earlier: State, now: Instant) {
        let Some(record) = self.jobs.get_mut(&job.id) else {
            return;
        };
        if earlier == State::Queued {
            // A repetition; a proposal that is under way stays.
            if job.cancelled {
                self.cancelled(job.id);
            }
            return;
        }
        let reclaimed = record.asked.take().is_some();
        record.straggler = false;
        let lost = reclaimed && self.has_fault(Fault::LoseReclaimed);
        self.release(job.id);
        let wait = match reclaimed {
            true => Duration::ZERO,
            false => self.backoff(job.starts),
        };
        match lost {
            true => self.lose(job.id),
            false => self.requeue(job.id, wait, now),
        }
    }

    /// Leaves a job in no queue; only for a planted fault.
    fn lose(&mut self, id: u64) {
        if let Some(record) = self.jobs.get_mut(&id) {
            record.phase = Phase::Held;
        }
    }

    /// Queues a job, to be tried after `wait`.
    pub(crate) fn requeue(&mut self, id: u64, wait: Duration, now: Instant) {
        let keep = self.has_fault(Fault::PlaceCancelled);
        if let Some(record) = self.jobs.get_mut(&id)
            && record.cancelled
            && !keep
        {
            record.phase = Phase::Failing;
        } else if wait.is_zero() {
            self.enqueue(id);
        } else if let Some(record) = self.jobs.get_mut(&id) {
            record.phase = Phase::Waiting(now + wait);
            self.queue.wait(now + wait, id);
        }
    }

    fn held(&mut self, job: &Job, earlier: State, now: Instant) {
        let parts = match &job.attempt {
            Some(attempt) => {
                let parts = attempt.members.iter().map(|member| Part {
                    machine: self.intern(&member.worker),
                    mask: Mask::of(&member.accelerators),
                    cpus: u32::from(job.spec.shape.cpus),
                    memory_mb: job.spec.shape.memory_mb,
                });
                parts.collect()
            }
            None => Vec::new(),
        };
        let Some(record) = self.jobs.get_mut(&job.id) else {
            return;
        };
        // The number of starts decides whether the work can be stopped.
        self.firm = None;
        record.borrowed = job.borrowed;
        let same = record.parts.len() == parts.len()
            && record
                .parts
                .iter()
                .zip(&parts)
                .all(|(a, b)| (a.machine, a.mask) == (b.machine, b.mask));
        if same && !record.parts.is_empty() {
            record.phase = Phase::Held;
        } else {
            self.release(job.id);
            self.hold(job.id, parts, Phase::Held, now);
        }
        if job.state == State::Running && earlier != State::Running {
            let ago = self
                .wall_at(now)
                .unwrap_or(0)
                .saturating_sub(job.changed_ms);
            if let Some(record) = self.jobs.get_mut(&job.id) {
                record.running = now.checked_sub(Duration::from_millis(ago)).or(Some(now));
            }
        }
    }

    fn end(&mut self, job: &Job, now: Instant) {
        self.dequeue(job.id);
        self.judge_end(job.id, job.state == State::Done);
        if let Some(record) = self.jobs.get(&job.id)
            && let (State::Done, Some(since)) = (job.state, record.running)
        {
            let seconds = now.saturating_duration_since(since).as_secs_f64();
            let history = &mut self.ledgers[record.account as usize].history;
            history.entry(record.class).or_default().add(seconds);
        }
        self.release(job.id);
        if self.bookings.remove(&job.id).is_some() {
            self.changed();
        }
        if let Some(record) = self.jobs.remove(&job.id) {
            self.ledgers[record.account as usize].jobs -= 1;
        }
    }

    /// A cancellation was accepted: a queued job is not placed any more.
    pub(crate) fn cancelled(&mut self, id: u64) {
        if self.has_fault(Fault::PlaceCancelled) {
            return;
        }
        if self.bookings.remove(&id).is_some() {
            self.changed();
        }
        self.dequeue(id);
        if let Some(record) = self.jobs.get_mut(&id) {
            record.cancelled = true;
            if matches!(record.phase, Phase::Queued | Phase::Waiting(_)) {
                record.phase = Phase::Failing;
            }
        }
    }

    /// The last proposal for a job was refused.
    pub(crate) fn rejected(&mut self, id: u64, now: Instant) {
        let Some(record) = self.jobs.get_mut(&id) else {
            return;
        };
        if record.asked.take().is_some() {
            // The job stays; places that were kept in the expectation that it goes are void.
            let machines: Vec<_> = record.parts.iter().map(|part| part.machine).collect();
            self.bookings.retain(|_, booking| {
                booking.is_soft() || booking.parts.iter().all(|p| !machines.contains(&p.machine))
            });
            self.changed();
            self.recheck = true;
        }
        let Some(record) = self.jobs.get(&id) else {
            return;
        };
        match record.phase {
            Phase::Proposed => {
                self.release(id);
                self.requeue(id, REJECTED_WAIT, now);
            }
            Phase::Failing if !record.cancelled => self.requeue(id, REJECTED_WAIT, now),
            _ => {}
        }
    }
}

/// Wait after a refused proposal, so that a refusal cannot repeat in a tight loop.
const REJECTED_WAIT: Duration = Duration::from_millis(100);

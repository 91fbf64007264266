use {
    super::Scheduler,
    crate::{
        fault::Fault,
        fleet::{Allocation, Mask},
        record::{Phase, Record, Usage},
    },
    model::job::{Job, State},
    std::time::{Duration, Instant},
};

impl Scheduler {
    /// Updates the record of a job that was accepted or changed.
    pub(crate) fn update_job(&mut self, job: &Job, now: Instant) {
        if self.wall_clock.is_none() {
            self.wall_clock = Some((now, job.changed_ms.max(job.submitted_ms)));
        }
        if job.state.is_end() {
            self.on_ended(job, now);
            return;
        }
        if !self.jobs.contains_key(&job.id) {
            self.add_job(job, now);
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
            State::Queued => self.on_queued(job, earlier, now),
            _ => self.on_held(job, earlier, now),
        }
    }

    fn add_job(&mut self, job: &Job, now: Instant) {
        let (account, new) = self.account_names.insert_full(job.spec.account.clone());
        if new {
            self.usages.push(Usage::default());
        }
        if self.usages[account].jobs == 0 {
            // An idle account starts level with the active ones; it must not accumulate credit.
            let active = self.usages.iter().filter(|usage| usage.jobs > 0);
            let least = active
                .map(|usage| usage.weighted_seconds)
                .fold(f64::INFINITY, f64::min);
            let usage = &mut self.usages[account];
            if least.is_finite() {
                usage.weighted_seconds = usage.weighted_seconds.max(least);
            }
        }
        self.usages[account].jobs += 1;
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

    /// Delay before the next attempt of a job that has started `starts` times.
    fn backoff(&self, starts: u32) -> Duration {
        if starts == 0 {
            return Duration::ZERO;
        }
        let doubled = self.settings.backoff_min * 2u32.saturating_pow((starts - 1).min(16));
        doubled.min(self.settings.backoff_max)
    }

    /// Adds a job to its queue.
    pub(crate) fn enqueue(&mut self, id: u64) {
        if let Some(record) = self.jobs.get_mut(&id) {
            record.phase = Phase::Queued;
            let key = (record.submitted_ms, id);
            self.queue
                .insert(record.account, record.class, &record.requirements(), key);
        }
    }

    /// Removes a job from its queue or backoff.
    pub(crate) fn dequeue(&mut self, id: u64) {
        if let Some(record) = self.jobs.get(&id) {
            let key = (record.submitted_ms, id);
            match record.phase {
                Phase::Queued => {
                    self.queue
                        .remove(record.account, record.class, &record.requirements(), key)
                }
                Phase::Backoff(due) => self.queue.cancel_delay(due, id),
                _ => {}
            }
        }
    }

    fn on_queued(&mut self, job: &Job, earlier: State, now: Instant) {
        let Some(record) = self.jobs.get_mut(&job.id) else {
            return;
        };
        if earlier == State::Queued {
            // Reported again without a change; an open proposal stays valid.
            if job.cancelled {
                self.on_cancelled(job.id);
            }
            return;
        }
        let reclaimed = record.reclaim_reason.take().is_some();
        record.straggler = false;
        let lost = reclaimed && self.has_fault(Fault::LoseReclaimed);
        self.release(job.id);
        let wait = match reclaimed {
            true => Duration::ZERO,
            false => self.backoff(job.starts),
        };
        match lost {
            true => self.leave_unqueued(job.id),
            false => self.requeue(job.id, wait, now),
        }
    }

    /// Leaves a job in no queue; only for [`Fault::LoseReclaimed`].
    fn leave_unqueued(&mut self, id: u64) {
        if let Some(record) = self.jobs.get_mut(&id) {
            record.phase = Phase::Committed;
        }
    }

    /// Queues a job after a delay of `wait`. A cancelled job is not queued again.
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
            record.phase = Phase::Backoff(now + wait);
            self.queue.delay(now + wait, id);
        }
    }

    fn on_held(&mut self, job: &Job, earlier: State, now: Instant) {
        let allocations = match &job.attempt {
            Some(attempt) => {
                let allocations = attempt.members.iter().map(|member| Allocation {
                    machine: self.intern(&member.worker),
                    mask: Mask::of(&member.accelerators),
                    cpus: u32::from(job.spec.shape.cpus),
                    memory_mb: job.spec.shape.memory_mb,
                });
                allocations.collect()
            }
            None => Vec::new(),
        };
        let Some(record) = self.jobs.get_mut(&job.id) else {
            return;
        };
        // The number of starts determines whether the job is preemptible.
        self.pinned = None;
        record.borrowed = job.borrowed;
        let same = record.allocations.len() == allocations.len()
            && record
                .allocations
                .iter()
                .zip(&allocations)
                .all(|(a, b)| (a.machine, a.mask) == (b.machine, b.mask));
        if same && !record.allocations.is_empty() {
            record.phase = Phase::Committed;
        } else {
            self.release(job.id);
            self.hold(job.id, allocations, Phase::Committed, now);
        }
        if job.state == State::Running && earlier != State::Running {
            let ago = self
                .wall_at(now)
                .unwrap_or(0)
                .saturating_sub(job.changed_ms);
            if let Some(record) = self.jobs.get_mut(&job.id) {
                record.running_since = now.checked_sub(Duration::from_millis(ago)).or(Some(now));
            }
        }
    }

    fn on_ended(&mut self, job: &Job, now: Instant) {
        self.dequeue(job.id);
        self.attribute_failures(job.id, job.state == State::Done);
        if let Some(record) = self.jobs.get(&job.id)
            && let (State::Done, Some(since)) = (job.state, record.running_since)
        {
            let seconds = now.saturating_duration_since(since).as_secs_f64();
            let history = &mut self.usages[record.account as usize].history;
            history.entry(record.class).or_default().add(seconds);
        }
        self.release(job.id);
        if self.bookings.remove(&job.id).is_some() {
            self.invalidate();
        }
        if let Some(record) = self.jobs.remove(&job.id) {
            self.usages[record.account as usize].jobs -= 1;
        }
    }

    /// Records an accepted cancellation; a queued job is not placed any more.
    pub(crate) fn on_cancelled(&mut self, id: u64) {
        if self.has_fault(Fault::PlaceCancelled) {
            return;
        }
        if self.bookings.remove(&id).is_some() {
            self.invalidate();
        }
        self.dequeue(id);
        if let Some(record) = self.jobs.get_mut(&id) {
            record.cancelled = true;
            if matches!(record.phase, Phase::Queued | Phase::Backoff(_)) {
                record.phase = Phase::Failing;
            }
        }
    }

    /// Reverts the last proposal for a job, which was rejected.
    pub(crate) fn on_rejected(&mut self, id: u64, now: Instant) {
        let Some(record) = self.jobs.get_mut(&id) else {
            return;
        };
        if record.reclaim_reason.take().is_some() {
            // The job keeps running, so bookings that rely on its allocations are void.
            let machines: Vec<_> = record
                .allocations
                .iter()
                .map(|allocation| allocation.machine)
                .collect();
            self.bookings.retain(|_, booking| {
                booking.is_reservation()
                    || booking
                        .allocations
                        .iter()
                        .all(|p| !machines.contains(&p.machine))
            });
            self.invalidate();
            self.recheck_places = true;
        }
        let Some(record) = self.jobs.get(&id) else {
            return;
        };
        match record.phase {
            Phase::Proposed => {
                self.release(id);
                self.requeue(id, REJECTION_DELAY, now);
            }
            Phase::Failing if !record.cancelled => self.requeue(id, REJECTION_DELAY, now),
            _ => {}
        }
    }
}

/// Delay before a job is scheduled again after a rejected proposal; avoids a tight loop of rejections.
const REJECTION_DELAY: Duration = Duration::from_millis(100);

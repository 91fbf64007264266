use {
    super::Scheduler,
    crate::{Decision, fault::Fault, record::Phase},
    model::job::State,
    std::time::{Duration, Instant},
};

/// Time between two judgements of running jobs.
const JUDGE_EVERY: Duration = Duration::from_secs(1);

impl Scheduler {
    /// A task failed on a worker.
    pub(crate) fn task_failed(&mut self, id: u64, worker: &str, now: Instant) {
        let machine = self.intern(worker);
        let queued = self
            .jobs
            .get(&id)
            .is_some_and(|record| record.phase == Phase::Queued);
        if queued {
            self.dequeue(id);
        }
        let Some(record) = self.jobs.get_mut(&id) else {
            return;
        };
        if !record.failed_on.contains(&machine) {
            record.failed_on.push(machine);
        }
        let after = record
            .running
            .map_or(Duration::ZERO, |since| now.saturating_duration_since(since));
        self.failures[machine as usize].add(id, after);
        self.judged = None;
        if queued {
            self.enqueue(id);
        }
    }

    /// A job ended; a success speaks for its workers and against those on which it failed before.
    pub(crate) fn judge_end(&mut self, id: u64, success: bool) {
        let Some(record) = self.jobs.get(&id).filter(|_| success) else {
            return;
        };
        for machine in &record.failed_on {
            self.failures[*machine as usize].clear_job(id);
        }
        for part in &record.parts {
            if !record.failed_on.contains(&part.machine) {
                self.failures[part.machine as usize].clear();
            }
        }
    }

    /// Quarantines and probes workers and reports stragglers.
    pub(crate) fn judge(&mut self, now: Instant, out: &mut Vec<Decision>) {
        if self
            .judged
            .is_some_and(|last| now.saturating_duration_since(last) < JUDGE_EVERY)
        {
            return;
        }
        self.judged = Some(now);
        for index in 0..self.failures.len() {
            let machine = self.fleet.machine(index as u32);
            let worker = &machine.worker.name;
            if let Some(since) = machine.quarantined {
                let due = now.saturating_duration_since(since) >= self.settings.probe_interval;
                if due && machine.live && !machine.probing {
                    out.push(Decision::Probe {
                        worker: worker.clone(),
                    });
                    self.fleet.machine_mut(index as u32).probing = true;
                }
            } else if self.is_at_fault(index as u32, now) {
                out.push(Decision::Quarantine {
                    worker: worker.clone(),
                });
                let machine = self.fleet.machine_mut(index as u32);
                machine.quarantined = Some(now);
                machine.probing = false;
                self.failures[index].clear();
                self.changed();
            }
        }
        self.stragglers(now, out);
    }

    /// Tells whether a worker failed enough different jobs in a row that run elsewhere.
    fn is_at_fault(&self, machine: u32, now: Instant) -> bool {
        let failures = self.failures[machine as usize].iter();
        let elsewhere = failures.filter(|failure| {
            failure.cleared
                || self.has_fault(Fault::QuarantineWithoutEvidence)
                || self.jobs.get(&failure.job).is_some_and(|record| {
                    // A job that fails everywhere also runs for a while on other workers. Only
                    // one that outlives its earlier failure shows that the worker is at fault.
                    record.state == State::Running
                        && record.parts.iter().all(|part| part.machine != machine)
                        && record.running.is_some_and(|since| {
                            now.saturating_duration_since(since) > failure.after * 2
                        })
                })
        });
        elsewhere.count() >= self.settings.quarantine_failed_jobs
    }

    fn stragglers(&mut self, now: Instant, out: &mut Vec<Decision>) {
        for (id, record) in &mut self.jobs {
            let (false, State::Running, Some(since)) =
                (record.straggler, record.state, record.running)
            else {
                continue;
            };
            let history = &self.ledgers[record.account as usize].history;
            let Some(p95) = history.get(&record.class).and_then(|history| history.p95()) else {
                continue;
            };
            let elapsed = now.saturating_duration_since(since);
            if elapsed.as_secs_f64() > p95 * self.settings.straggler_factor {
                record.straggler = true;
                out.push(Decision::Straggler {
                    job: *id,
                    elapsed,
                    p95: Duration::from_secs_f64(p95),
                });
            }
        }
    }
}

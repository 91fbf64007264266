use {
    super::Scheduler,
    crate::{Decision, fault::Fault, record::Phase},
    model::job::State,
    std::time::{Duration, Instant},
};

/// Minimum time between two health checks.
const HEALTH_CHECK_INTERVAL: Duration = Duration::from_secs(1);

impl Scheduler {
    /// Records a failed task of a job on a worker.
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
            .running_since
            .map_or(Duration::ZERO, |since| now.saturating_duration_since(since));
        self.failures[machine as usize].add(id, after);
        self.health_checked_at = None;
        if queued {
            self.enqueue(id);
        }
    }

    /// If a job succeeded, blames the workers on which it failed before and removes the failures of
    /// the other workers that it ran on.
    pub(crate) fn attribute_failures(&mut self, id: u64, success: bool) {
        let Some(record) = self.jobs.get(&id).filter(|_| success) else {
            return;
        };
        for machine in &record.failed_on {
            self.failures[*machine as usize].mark_succeeded_elsewhere(id);
        }
        for allocation in &record.allocations {
            if !record.failed_on.contains(&allocation.machine) {
                self.failures[allocation.machine as usize].clear();
            }
        }
    }

    /// Proposes quarantines and probes of workers and reports stragglers.
    pub(crate) fn check_health(&mut self, now: Instant, decisions: &mut Vec<Decision>) {
        if self
            .health_checked_at
            .is_some_and(|last| now.saturating_duration_since(last) < HEALTH_CHECK_INTERVAL)
        {
            return;
        }
        self.health_checked_at = Some(now);
        for index in 0..self.failures.len() {
            let machine = self.fleet.machine(index as u32);
            let worker = &machine.worker.name;
            if let Some(since) = machine.quarantined {
                let due = now.saturating_duration_since(since) >= self.settings.probe_interval;
                if due && machine.live && !machine.probing {
                    decisions.push(Decision::Probe {
                        worker: worker.clone(),
                    });
                    self.fleet.machine_mut(index as u32).probing = true;
                }
            } else if self.is_faulty(index as u32, now) {
                decisions.push(Decision::Quarantine {
                    worker: worker.clone(),
                });
                let machine = self.fleet.machine_mut(index as u32);
                machine.quarantined = Some(now);
                machine.probing = false;
                self.failures[index].clear();
                self.invalidate();
            }
        }
        self.report_stragglers(now, decisions);
    }

    /// Tells whether enough different jobs failed on a worker in a row and run elsewhere.
    fn is_faulty(&self, machine: u32, now: Instant) -> bool {
        let failures = self.failures[machine as usize].iter();
        let elsewhere = failures.filter(|failure| {
            failure.succeeded_elsewhere
                || self.has_fault(Fault::QuarantineWithoutEvidence)
                || self.jobs.get(&failure.job).is_some_and(|record| {
                    // A job that fails everywhere also runs for a while on other workers. Only a
                    // job that runs well past its earlier failure shows that the worker is faulty.
                    record.state == State::Running
                        && record
                            .allocations
                            .iter()
                            .all(|allocation| allocation.machine != machine)
                        && record.running_since.is_some_and(|since| {
                            now.saturating_duration_since(since) > failure.after * 2
                        })
                })
        });
        elsewhere.count() >= self.settings.quarantine_failed_jobs
    }

    fn report_stragglers(&mut self, now: Instant, decisions: &mut Vec<Decision>) {
        for (id, record) in &mut self.jobs {
            let (false, State::Running, Some(since)) =
                (record.straggler, record.state, record.running_since)
            else {
                continue;
            };
            let history = &self.usages[record.account as usize].history;
            let Some(p95) = history.get(&record.class).and_then(|history| history.p95()) else {
                continue;
            };
            let elapsed = now.saturating_duration_since(since);
            if elapsed.as_secs_f64() > p95 * self.settings.straggler_factor {
                record.straggler = true;
                decisions.push(Decision::Straggler {
                    job: *id,
                    elapsed,
                    p95: Duration::from_secs_f64(p95),
                });
            }
        }
    }
}

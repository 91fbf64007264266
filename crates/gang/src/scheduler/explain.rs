use {
    super::Scheduler,
    crate::{
        fleet::{Filter, pack},
        reclaim::{Booking, Kind},
        record::{Phase, Record},
    },
    model::{
        account::Account,
        job::State,
        shape::{Adjacency, Shape},
    },
};

impl Scheduler {
    /// Explains in one line what a job is waiting for: the rule that blocks it, then what would unblock
    /// it. `None` if the job has ended or is unknown.
    pub fn explain(&self, job: u64) -> Option<String> {
        let record = self.jobs.get(&job)?;
        if let Some(reason) = record
            .reclaim_reason
            .as_ref()
            .filter(|_| record.state != State::Stopping)
        {
            return Some(format!(
                "is asked to stop: {reason}; queued again when it has stopped"
            ));
        }
        if record.cancelled {
            return Some("cancelled; ends as soon as every task has stopped".into());
        }
        Some(match record.state {
            State::Queued => match record.phase {
                Phase::Proposed => "a place was proposed; waits for the commit".into(),
                Phase::Failing => "its end was proposed; waits for the commit".into(),
                Phase::Backoff(_) => format!(
                    "backoff: attempt {} of {} did not succeed; tried again by itself",
                    record.starts, record.max_attempts
                ),
                _ => self.explain_queued(job, record),
            },
            State::Placed | State::Starting => {
                "has a place; starts as soon as every worker has answered".into()
            }
            State::Stopping => {
                "is being stopped; queued again or ended when every task has stopped".into()
            }
            _ if record.straggler => {
                "runs far longer than usual for its account; nothing to wait for".into()
            }
            _ => "runs; nothing to wait for".into(),
        })
    }

    fn explain_queued(&self, job: u64, record: &Record) -> String {
        let name = &self.account_names[record.account as usize];
        let Some(account) = self.config.accounts.get(name) else {
            return format!("account: client account `{name}` is not in the configuration; add it");
        };
        let centres = self.centres(name, record.place.as_ref());
        if let Err(reason) = self.can_hold(&centres, &record.shape) {
            return reason;
        }
        if let Some(booking) = self.bookings.get(&job) {
            return self.explain_booking(booking);
        }
        self.explain_quota(job, record, name, account)
            .or_else(|| self.explain_shortfall(&centres))
            .unwrap_or_else(|| self.explain_capacity(job, record, &centres))
    }

    fn explain_booking(&self, booking: &Booking) -> String {
        let left: Vec<_> = booking
            .victims
            .iter()
            .filter(|victim| {
                self.jobs
                    .get(victim)
                    .is_some_and(|record| !record.allocations.is_empty())
            })
            .map(u64::to_string)
            .collect();
        let first = &self.fleet.machine(booking.allocations[0].machine).worker;
        let at = format!("{} rack {}", first.site, first.rack);
        match &booking.kind {
            Kind::Claim(name) => format!(
                "claim: guarantee `{name}` is claimed at {at}; starts when jobs [{}] have stopped",
                left.join(", ")
            ),
            Kind::Preemption => format!(
                "kept: a place at {at}; starts when jobs [{}] have stopped",
                left.join(", ")
            ),
            Kind::Reservation => format!(
                "reservation: a place at {at} is reserved; starts when the work there ends, and stoppable work that came later gives way"
            ),
        }
    }

    fn explain_quota(
        &self,
        job: u64,
        record: &Record,
        name: &str,
        account: &Account,
    ) -> Option<String> {
        let excess = self.quota_excess(job);
        let quota = account.quota.filter(|_| excess > 0)?;
        let held = self.usages[record.account as usize].held;
        let need = record.accelerators();
        Some(format!(
            "quota: `{name}` holds {held} of {quota} accelerators and the job needs {need}; end {excess} accelerators of work or raise the quota"
        ))
    }

    fn explain_shortfall(&self, centres: &[bool]) -> Option<String> {
        let open = centres
            .iter()
            .zip(self.closed_centres())
            .any(|(permitted, closed)| *permitted && !closed);
        let first = self.reported_shortfalls.first().filter(|_| !open)?;
        Some(format!(
            "owed: no borrowing while a guarantee is owed there ({first})"
        ))
    }

    fn explain_capacity(&self, job: u64, record: &Record, centres: &[bool]) -> String {
        let filter = Filter {
            centres,
            avoid: &record.failed_on,
        };
        let mut available = self.available();
        let need = record.accelerators();
        if record.is_preemptible() {
            if pack(&self.fleet, &available, &record.shape, filter).is_some() {
                return self.explain_order(job, record);
            }
        } else {
            let free = pack(&self.fleet, &available, &record.shape, filter).is_some();
            self.hold_reservations(job, &mut available);
            match pack(&self.fleet, &available, &record.shape, filter) {
                Some(_) if self.is_unplaceable(record) => {
                    return "guarantee: a place is free, but the job cannot be stopped and would leave a guaranteed shape without one; make it repeatable or add workers".into();
                }
                Some(_) => return self.explain_order(job, record),
                None if free => {
                    return "reservation: the free place is reserved for a gang that waited longer; waits for other work to end, or make the job repeatable".into();
                }
                None => {}
            }
        }
        let resources = available.0.iter().zip(self.fleet.machines());
        let free: u32 = resources
            .filter(|(_, machine)| centres.get(machine.centre).is_some_and(|ok| *ok))
            .map(|(resources, _)| resources.mask.len())
            .sum();
        match free >= need {
            true => format!(
                "adjacency: {free} accelerators are free but no place for {}; waits for work to end or be moved",
                describe(&record.shape)
            ),
            false => format!(
                "capacity: {free} accelerators are free in the permitted places and the job needs {need}; waits for work to end"
            ),
        }
    }

    /// Tells whether a job of the same queue was found not to fit in the present state.
    fn is_unplaceable(&self, record: &Record) -> bool {
        let queue_id = (record.account, record.class, record.requirements());
        self.unplaceable.get(&queue_id) == Some(&self.epoch)
    }

    fn explain_order(&self, job: u64, record: &Record) -> String {
        let ahead =
            self.queue
                .count_ahead(record.account, record.class, (record.submitted_ms, job));
        format!("order: a place is free; {ahead} jobs of the account and class are served first")
    }

    /// Checks that known workers in these data centres could hold `shape` if nothing else ran. The error
    /// is for the user.
    pub(crate) fn can_hold(&self, centres: &[bool], shape: &Shape) -> Result<(), String> {
        if !centres.iter().any(|permitted| *permitted) {
            return Err("place: no known worker is in a permitted place; permit another place or wait for workers".into());
        }
        let capacity = self.fleet.total_capacity(|machine| machine.known);
        let filter = Filter {
            centres,
            avoid: &[],
        };
        match pack(&self.fleet, &capacity, shape, filter) {
            Some(_) => Ok(()),
            None => Err(format!(
                "shape: no known {} in the permitted places can hold {}; submit a smaller shape",
                match shape.adjacency {
                    Adjacency::Worker => "worker",
                    Adjacency::Rack => "rack",
                    Adjacency::DataCentre => "data centre",
                },
                describe(shape)
            )),
        }
    }
}

fn describe(shape: &Shape) -> String {
    let within = match shape.adjacency {
        Adjacency::Worker => "one worker",
        Adjacency::Rack => "one rack",
        Adjacency::DataCentre => "one data centre",
    };
    format!(
        "{} tasks of {} adjacent accelerators, {} processors and {} MB within {within}",
        shape.tasks, shape.accelerators, shape.cpus, shape.memory_mb
    )
}

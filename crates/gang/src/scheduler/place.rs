use {
    super::{Cycle, Scheduler},
    crate::{
        Decision, Reason,
        fault::Fault,
        fleet::{Allocation, Capacity, Filter, pack},
        record::{Phase, Record},
    },
    model::{
        place::permits,
        shape::{Adjacency, Shape},
    },
};

impl Scheduler {
    /// Proposes a placement for a queued job. Checks again that its account may use every site, as the
    /// last step before the proposal. Returns whether it was proposed.
    pub(crate) fn place(
        &mut self,
        id: u64,
        allocations: Vec<Allocation>,
        guarantee: Option<&str>,
        cycle: &mut Cycle,
    ) -> bool {
        let Some(record) = self.jobs.get(&id) else {
            return false;
        };
        let account = self.account(record.account);
        let permitted = |allocation: &Allocation| {
            let site = &self.fleet.machine(allocation.machine).worker.site;
            account.is_some_and(|account| permits(account, site))
        };
        if !allocations.iter().all(permitted) && !self.has_fault(Fault::IgnorePlace) {
            return false;
        }
        if !self.has_fault(Fault::DoubleAllocation) {
            allocations
                .iter()
                .for_each(|allocation| cycle.available.hold(allocation));
        }
        let mut members = self.members(&allocations);
        if self.has_fault(Fault::PartialGang) && members.len() > 1 {
            members.pop();
        }
        self.dequeue(id);
        self.bookings.remove(&id);
        if guarantee.is_some() {
            self.drop_overlapping_reservations(id, &allocations);
        }
        self.hold(id, allocations, Phase::Proposed, cycle.now);
        if let Some(record) = self.jobs.get_mut(&id) {
            record.borrowed = guarantee.is_none();
            record.guarantee = guarantee.map(Box::from);
        }
        cycle.decisions.push(Decision::Place {
            job: id,
            members,
            borrowed: guarantee.is_none(),
        });
        true
    }

    /// Proposes the failure of a job that can never run again. Returns whether it did.
    pub(crate) fn propose_failure(&mut self, id: u64, cycle: &mut Cycle) -> bool {
        let Some(reason) = self
            .jobs
            .get(&id)
            .and_then(|record| self.permanent_failure(record))
        else {
            return false;
        };
        self.dequeue(id);
        if self.bookings.remove(&id).is_some() {
            self.invalidate();
        }
        if let Some(record) = self.jobs.get_mut(&id) {
            record.phase = Phase::Failing;
        }
        cycle.decisions.push(Decision::Fail { job: id, reason });
        true
    }

    /// Why a job can never run again; `None` if it can.
    fn permanent_failure(&self, record: &Record) -> Option<Reason> {
        let name = &self.account_names[record.account as usize];
        if !self.config.accounts.contains_key(name) {
            return Some(Reason::AccountNotConfigured {
                account: name.clone(),
            });
        }
        if record.starts >= record.max_attempts && !self.has_fault(Fault::UnboundedAttempts) {
            return Some(Reason::AttemptsExhausted {
                starts: record.starts,
                max_attempts: record.max_attempts,
            });
        }
        // Failures on a quarantined worker are not blamed on the job.
        let workers: Vec<_> = record
            .failed_on
            .iter()
            .map(|machine| self.fleet.machine(*machine))
            .filter(|machine| machine.quarantined.is_none())
            .map(|machine| machine.worker.name.clone())
            .collect();
        if workers.len() >= self.settings.max_failed_workers {
            return Some(Reason::FailedOnWorkers { workers });
        }
        // Workers at sites that are not known yet may still announce themselves.
        let account = &self.config.accounts[name.as_str()];
        let possible = account.places.iter().any(|permitted| match &record.place {
            Some(place) => permitted.covers(place) || place.covers(permitted),
            None => {
                let regions = &self.settings.regions;
                regions.is_empty() || regions.iter().any(|region| region == permitted.region())
            }
        });
        if !possible {
            return Some(Reason::NoPermittedPlace {
                account: name.clone(),
            });
        }
        None
    }

    /// Tells whether a job fits the quota of its account, beside its allocations and bookings.
    pub(crate) fn within_quota(&self, id: u64) -> bool {
        self.quota_excess(id) == 0
    }

    /// By how many accelerators a job would exceed the quota of its account.
    pub(crate) fn quota_excess(&self, id: u64) -> u32 {
        let Some(record) = self.jobs.get(&id) else {
            return 0;
        };
        let quota = self
            .account(record.account)
            .and_then(|account| account.quota);
        let Some(quota) = quota.filter(|_| !self.has_fault(Fault::IgnoreQuota)) else {
            return 0;
        };
        let booked: u32 = self
            .bookings
            .iter()
            .filter(|(other, booking)| **other != id && !booking.is_reservation())
            .filter_map(|(other, _)| self.jobs.get(other))
            .filter(|other| other.account == record.account)
            .map(|other| other.accelerators())
            .sum();
        let held = self.usages[record.account as usize].held;
        (held + booked + record.accelerators()).saturating_sub(quota)
    }

    /// Allocates a gang within `capacity`, avoiding workers on which it failed if it could fit elsewhere.
    pub(crate) fn pack_gang(
        &self,
        capacity: &Capacity,
        record: &Record,
        shape: &Shape,
        centres: &[bool],
    ) -> Option<Vec<Allocation>> {
        let avoid = self.avoided(record, shape, centres);
        let filter = Filter { centres, avoid };
        if self.has_fault(Fault::IgnoreAdjacency) && shape.tasks > 1 {
            let wide = Shape {
                adjacency: Adjacency::DataCentre,
                ..shape.clone()
            };
            return pack(&self.fleet, capacity, &wide, filter);
        }
        pack(&self.fleet, capacity, shape, filter)
    }

    /// Workers on which a job failed; empty if it could not run without them, even if they were idle.
    pub(crate) fn avoided<'a>(
        &self,
        record: &'a Record,
        shape: &Shape,
        centres: &[bool],
    ) -> &'a [u32] {
        let avoid = record.failed_on.as_slice();
        if avoid.is_empty() {
            return avoid;
        }
        let capacity = self.fleet.total_capacity(|machine| machine.in_service());
        match pack(&self.fleet, &capacity, shape, Filter { centres, avoid }) {
            Some(_) => avoid,
            None => &[],
        }
    }
}

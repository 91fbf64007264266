use {
    super::{Scheduler, Turn},
    crate::{
        Decision, Reason,
        fault::Fault,
        fleet::{Filter, Part, Room, pack},
        record::{Phase, Record},
    },
    model::{
        place::permits,
        shape::{Adjacency, Shape},
    },
};

impl Scheduler {
    /// Proposes a place for a queued job. The permission of every site is checked here again, as the
    /// last step before the proposal.
    pub(crate) fn place(
        &mut self,
        id: u64,
        parts: Vec<Part>,
        guarantee: Option<&str>,
        turn: &mut Turn,
    ) -> bool {
        let Some(record) = self.jobs.get(&id) else {
            return false;
        };
        let account = self.account(record.account);
        let permitted = |part: &Part| {
            let site = &self.fleet.machine(part.machine).worker.site;
            account.is_some_and(|account| permits(account, site))
        };
        if !parts.iter().all(permitted) && !self.has_fault(Fault::IgnorePlace) {
            return false;
        }
        if !self.has_fault(Fault::DoubleAllocation) {
            parts.iter().for_each(|part| turn.view.hold(part));
        }
        let mut members = self.members(&parts);
        if self.has_fault(Fault::PartialGang) && members.len() > 1 {
            members.pop();
        }
        self.dequeue(id);
        self.bookings.remove(&id);
        if guarantee.is_some() {
            self.drop_soft(id, &parts);
        }
        self.hold(id, parts, Phase::Proposed, turn.now);
        if let Some(record) = self.jobs.get_mut(&id) {
            record.borrowed = guarantee.is_none();
            record.guarantee = guarantee.map(Box::from);
        }
        turn.out.push(Decision::Place {
            job: id,
            members,
            borrowed: guarantee.is_none(),
        });
        true
    }

    /// Proposes the failure of a job that must not be tried again. Returns whether it did.
    pub(crate) fn give_up(&mut self, id: u64, turn: &mut Turn) -> bool {
        let Some(reason) = self.jobs.get(&id).and_then(|record| self.hopeless(record)) else {
            return false;
        };
        self.dequeue(id);
        if self.bookings.remove(&id).is_some() {
            self.changed();
        }
        if let Some(record) = self.jobs.get_mut(&id) {
            record.phase = Phase::Failing;
        }
        turn.out.push(Decision::Fail { job: id, reason });
        true
    }

    /// Why a job can never run again, if so.
    fn hopeless(&self, record: &Record) -> Option<Reason> {
        let name = &self.names[record.account as usize];
        if !self.config.accounts.contains_key(name) {
            return Some(Reason::AccountNotConfigured {
                account: name.clone(),
            });
        }
        if record.starts >= record.bound && !self.has_fault(Fault::UnboundedAttempts) {
            return Some(Reason::AttemptsExhausted {
                starts: record.starts,
                bound: record.bound,
            });
        }
        // A worker in quarantine says nothing about the job.
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
        // Sites of the region that are not known yet may still announce themselves.
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

    /// Tells whether the quota allows a job beside what its account holds and has booked.
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
            .filter(|(other, booking)| **other != id && !booking.is_soft())
            .filter_map(|(other, _)| self.jobs.get(other))
            .filter(|other| other.account == record.account)
            .map(|other| other.accelerators())
            .sum();
        let held = self.ledgers[record.account as usize].held;
        (held + booked + record.accelerators()).saturating_sub(quota)
    }

    /// Packs a gang; workers on which it failed are avoided, unless it fits nowhere else at all.
    pub(crate) fn find(
        &self,
        room: &Room,
        record: &Record,
        shape: &Shape,
        centres: &[bool],
    ) -> Option<Vec<Part>> {
        let avoid = self.avoided(record, shape, centres);
        let filter = Filter { centres, avoid };
        if self.has_fault(Fault::IgnoreAdjacency) && shape.tasks > 1 {
            let wide = Shape {
                adjacency: Adjacency::DataCentre,
                ..shape.clone()
            };
            return pack(&self.fleet, room, &wide, filter);
        }
        pack(&self.fleet, room, shape, filter)
    }

    /// Workers that a job must not use, because it failed there and could run elsewhere.
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
        let room = self.fleet.empty_room(|machine| machine.in_service());
        match pack(&self.fleet, &room, shape, Filter { centres, avoid }) {
            Some(_) => avoid,
            None => &[],
        }
    }
}

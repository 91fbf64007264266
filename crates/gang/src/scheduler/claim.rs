use {
    super::{Cycle, Scheduler},
    crate::{
        Reason,
        fault::Fault,
        fleet::{Allocation, Capacity, Filter, pack},
        proof::{GuaranteeId, covers, is_whole, with_tighter_adjacency},
        reclaim::{Booking, Holders, Kind, Search},
        record::{Phase, Record},
    },
    model::{job::Class, shape::Shape},
    std::collections::BTreeSet,
};

/// Plans tried for one claim before falling back to the placement in the proof.
const MAX_CLAIM_PLANS: usize = 6;

impl Scheduler {
    /// Places the jobs that may claim an unused guarantee. Sweeps never claim, because they would take
    /// the guarantee from urgent jobs of the same account. For the same reason preemptible standard
    /// jobs claim only in the `last` round, after they found no other place.
    pub(crate) fn claim_guarantees(&mut self, last: bool, cycle: &mut Cycle) {
        let guaranteed = |account: u32| {
            self.account(account)
                .is_some_and(|a| !a.guarantees.is_empty())
        };
        let mut heads: Vec<_> = self
            .queue
            .heads()
            .filter(|(account, class, ..)| *class != Class::Sweep && guaranteed(*account))
            .map(|(_, class, key)| (class, key))
            .collect();
        heads.sort_unstable();
        for (_, key) in heads {
            let mut next = Some(key);
            while let Some(key) = next.take() {
                let Some(record) = self.jobs.get(&key.1) else {
                    break;
                };
                let (account, class, requirements) =
                    (record.account, record.class, record.requirements());
                let booked = self
                    .bookings
                    .get(&key.1)
                    .is_some_and(|booking| !booking.is_reservation());
                if last != (class == Class::Standard && record.is_preemptible()) {
                    break;
                }
                if booked
                    || self.propose_failure(key.1, cycle)
                    || self.claim_guarantee(key.1, cycle)
                {
                    next = self.queue.next_after(account, class, &requirements, key);
                }
            }
        }
    }

    /// Tries the unused guarantees that cover a job, smallest first. Returns whether it was placed or
    /// booked.
    fn claim_guarantee(&mut self, id: u64, cycle: &mut Cycle) -> bool {
        let Some(record) = self.jobs.get(&id) else {
            return false;
        };
        let Some((index, name, account)) = self
            .config
            .accounts
            .get_full(&self.account_names[record.account as usize])
        else {
            return false;
        };
        let permitted = self.centres(name, record.place.as_ref());
        let mut options = Vec::new();
        let mut full = Vec::new();
        for (nth, (name, guarantee)) in account.guarantees.iter().enumerate() {
            let guarantee_id = (index as u32, nth as u32);
            let used = self
                .pinned
                .as_ref()
                .map_or(0, |pinned| pinned.count_covered(guarantee_id));
            if !covers(&guarantee.shape, &record.shape, record.is_preemptible()) {
                continue;
            }
            if used >= usize::from(guarantee.count) {
                full.push((guarantee_id, is_whole(&guarantee.shape, &record.shape)));
                continue;
            }
            let mut centres = permitted.clone();
            for (centre, site) in centres.iter_mut().zip(self.fleet.centres()) {
                *centre &= guarantee.place.contains(site);
            }
            let shape = with_tighter_adjacency(&record.shape, &guarantee.shape);
            options.push((
                guarantee.shape.total_accelerators(),
                guarantee_id,
                name.clone(),
                shape,
                centres,
            ));
        }
        options.sort_by_key(|(size, guarantee_id, ..)| (*size, *guarantee_id));
        let claimed = options
            .into_iter()
            .any(|(_, guarantee_id, name, shape, centres)| {
                self.try_claim(id, guarantee_id, &name, &shape, &centres, cycle)
            });
        if !claimed {
            self.displace(id, &full, cycle);
        }
        claimed
    }

    /// Reclaims a job of the same account that counts against a fully used guarantee: one of a less
    /// urgent class or, for a gang of the whole guaranteed shape, a smaller one. The claim follows once
    /// the guarantee is unused.
    fn displace(&mut self, id: u64, full: &[(GuaranteeId, bool)], cycle: &mut Cycle) {
        let Some(claimant) = self.jobs.get(&id) else {
            return;
        };
        let covered = self.pinned.iter().flat_map(|pinned| &pinned.covered);
        let victim = covered
            .filter_map(|covered| {
                let (_, whole) = full
                    .iter()
                    .find(|(guarantee_id, _)| *guarantee_id == covered.guarantee_id)?;
                let record = self.jobs.get(&covered.job)?;
                let smaller = *whole && record.accelerators() < claimant.accelerators();
                let before =
                    claimant.class < record.class || (claimant.class == record.class && smaller);
                (before && record.is_preemptible() && record.phase == Phase::Committed)
                    .then_some((covered.job, record))
            })
            .min_by_key(|(job, record)| (record.loss(), *job));
        if let Some((victim, _)) = victim {
            self.propose_reclaim(victim, Reason::Claim { job: id }, &mut cycle.decisions);
            self.refresh_proof();
            cycle.closed = self.closed_centres();
        }
    }

    fn try_claim(
        &mut self,
        id: u64,
        guarantee_id: GuaranteeId,
        name: &str,
        shape: &Shape,
        centres: &[bool],
        cycle: &mut Cycle,
    ) -> bool {
        let Some(record) = self.jobs.get(&id) else {
            return false;
        };
        if self.within_quota(id) {
            let capacity = self.unreserved(id, cycle);
            if let Some(allocations) = self.pack_gang(&capacity, record, shape, centres)
                && self.admit(id, Some(guarantee_id), &allocations)
            {
                return self.place(id, allocations, Some(name), cycle);
            }
        }
        let Some(record) = self.jobs.get(&id) else {
            return false;
        };
        // Preempting an equal job of the same account for a preemptible one would only swap the two.
        let (account, class, size) = (record.account, record.class, record.accelerators());
        let exchangeable = class == Class::Standard && record.is_preemptible();
        let equal = |other: &Record| {
            let same = other.account == account && other.class == class;
            exchangeable && same && other.accelerators() >= size
        };
        let holders = self.holders(|_, record| record.is_preemptible() && !equal(record));
        let free = self.free_or_ending(cycle);
        let search = Search {
            fleet: &self.fleet,
            free: &free,
            holders: &holders,
            minimize_wait: false,
        };
        let avoid = self.avoided(record, shape, centres);
        let plans = search.plans(shape, Filter { centres, avoid });
        let mut choices: Vec<_> = plans
            .into_iter()
            .take(MAX_CLAIM_PLANS)
            .map(|plan| (plan.allocations, plan.holders))
            .collect();
        choices.extend(self.placement_from_proof(guarantee_id, shape, centres, &free, &holders));
        for (allocations, mut victims) in choices {
            if !self.add_quota_victims(id, &mut victims, &holders)
                || !self.admit(id, Some(guarantee_id), &allocations)
            {
                continue;
            }
            self.book(
                id,
                Kind::Claim(name.to_owned()),
                allocations,
                &victims,
                cycle,
            );
            return true;
        }
        false
    }

    /// Allocations within the unused placement of the guarantee in the proof, which is disjoint from
    /// all others, with the holders to stop.
    fn placement_from_proof(
        &self,
        guarantee_id: GuaranteeId,
        shape: &Shape,
        centres: &[bool],
        free: &Capacity,
        holders: &Holders,
    ) -> Option<(Vec<Allocation>, BTreeSet<u64>)> {
        let placement =
            self.proof.placements.iter().find(|placement| {
                placement.guarantee_id == guarantee_id && placement.job.is_none()
            })?;
        let mut capacity = self.fleet.total_capacity(|_| false);
        for allocation in &placement.allocations {
            capacity.0[allocation.machine as usize].schedulable = true;
            capacity.free(allocation);
        }
        let filter = Filter {
            centres,
            avoid: &[],
        };
        let allocations = pack(&self.fleet, &capacity, shape, filter)?;
        let mut victims = BTreeSet::new();
        let mut rest = free.clone();
        for allocation in &allocations {
            for job in &holders.machines[allocation.machine as usize] {
                let held = &holders.jobs[job].allocations;
                let overlaps = |held: &&Allocation| {
                    held.machine == allocation.machine && held.mask.intersects(allocation.mask)
                };
                if held.iter().any(|held| overlaps(&held)) && victims.insert(*job) {
                    held.iter().for_each(|held| rest.free(held));
                }
            }
        }
        // Stop further holders where processors or memory are still short.
        for allocation in &allocations {
            for job in &holders.machines[allocation.machine as usize] {
                let resources = &rest.0[allocation.machine as usize];
                let need: (i64, i64) = allocations
                    .iter()
                    .filter(|other| other.machine == allocation.machine)
                    .fold((0, 0), |sum, p| {
                        (sum.0 + i64::from(p.cpus), sum.1 + i64::from(p.memory_mb))
                    });
                if resources.cpus >= need.0 && resources.memory_mb >= need.1 {
                    break;
                }
                if victims.insert(*job) {
                    holders.jobs[job]
                        .allocations
                        .iter()
                        .for_each(|held| rest.free(held));
                }
            }
        }
        let fits = |allocation: &Allocation| {
            allocation
                .mask
                .difference(rest.0[allocation.machine as usize].mask)
                .len()
                == 0
        };
        allocations
            .iter()
            .all(fits)
            .then_some((allocations, victims))
    }

    /// Adds the cheapest victims of the same account until its quota allows the job. Returns whether it
    /// does.
    fn add_quota_victims(&self, id: u64, victims: &mut BTreeSet<u64>, holders: &Holders) -> bool {
        let Some(record) = self.jobs.get(&id) else {
            return false;
        };
        let own = |job: &u64| {
            self.jobs
                .get(job)
                .filter(|other| other.account == record.account)
        };
        let mut excess = i64::from(self.quota_excess(id));
        for job in victims.iter() {
            excess -= own(job).map_or(0, |other| i64::from(other.accelerators()));
        }
        // Jobs that are ending already free quota as well.
        let ending = self.jobs.values().filter(|other| {
            other.account == record.account && other.is_ending() && !other.allocations.is_empty()
        });
        excess -= ending
            .map(|other| i64::from(other.accelerators()))
            .sum::<i64>();
        let mut others: Vec<_> = holders
            .jobs
            .iter()
            .filter(|(job, _)| own(job).is_some())
            .collect();
        others.sort_by_key(|(_, holder)| holder.cost);
        for (job, _) in others {
            if excess <= 0 {
                break;
            }
            if victims.insert(*job) {
                excess -= own(job).map_or(0, |other| i64::from(other.accelerators()));
            }
        }
        excess <= 0
    }

    /// Books allocations for a job and proposes to reclaim the victims. The job is placed at once if
    /// everything is free and the booking is no reservation.
    pub(crate) fn book(
        &mut self,
        id: u64,
        kind: Kind,
        allocations: Vec<Allocation>,
        victims: &BTreeSet<u64>,
        cycle: &mut Cycle,
    ) {
        self.dirty = true;
        if kind != Kind::Reservation {
            self.drop_overlapping_reservations(id, &allocations);
            allocations
                .iter()
                .for_each(|allocation| cycle.available.hold(allocation));
        }
        for victim in victims {
            let reason = match kind {
                Kind::Claim(_) => Reason::Claim { job: id },
                _ => Reason::Priority { job: id },
            };
            if self
                .jobs
                .get(victim)
                .is_some_and(|record| record.reclaim_reason.is_none())
            {
                self.reclaim_unpinned(*victim, reason, cycle);
            }
        }
        let booking = Booking {
            kind,
            allocations,
            victims: victims.iter().copied().collect(),
            since: cycle.now,
        };
        if !booking.is_reservation() && self.is_free(&booking) && self.within_quota(id) {
            self.place_booked(id, booking, cycle);
        } else {
            self.bookings.insert(id, booking);
        }
    }

    /// Proposes to reclaim a job that is not pinned, so pinned work need not be collected again.
    pub(crate) fn reclaim_unpinned(&mut self, victim: u64, reason: Reason, cycle: &mut Cycle) {
        let pinned = self.pinned.take();
        self.propose_reclaim(victim, reason, &mut cycle.decisions);
        self.pinned = pinned;
    }

    /// Jobs that hold accelerators, count against no guarantee and are accepted by `choose`, with the
    /// work lost by a stop as cost.
    pub(crate) fn holders(&self, choose: impl Fn(u64, &Record) -> bool) -> Holders {
        let covered: BTreeSet<_> = self
            .pinned
            .iter()
            .flat_map(|pinned| &pinned.covered)
            .map(|covered| covered.job)
            .collect();
        let any = self.has_fault(Fault::ReclaimNonPreemptible);
        let mut holders = Holders::new(self.fleet.machines().len());
        for (id, record) in &self.jobs {
            let held = record.phase == Phase::Committed
                && !record.allocations.is_empty()
                && !record.is_ending();
            if held && !covered.contains(id) && (any || choose(*id, record)) {
                holders.add(*id, &record.allocations, record.loss());
            }
        }
        holders
    }

    /// Capacity that is free or held by ending jobs, minus bookings.
    pub(crate) fn free_or_ending(&self, cycle: &Cycle) -> Capacity {
        let mut free = cycle.available.clone();
        for record in self.jobs.values().filter(|record| record.is_ending()) {
            record
                .allocations
                .iter()
                .for_each(|allocation| free.free(allocation));
        }
        self.hold_bookings(&mut free);
        free
    }

    /// Subtracts the accelerators of all bookings except reservations from `capacity`.
    pub(crate) fn hold_bookings(&self, capacity: &mut Capacity) {
        for booking in self
            .bookings
            .values()
            .filter(|booking| !booking.is_reservation())
        {
            for allocation in &booking.allocations {
                let resources = &mut capacity.0[allocation.machine as usize];
                resources.mask = resources.mask.difference(allocation.mask);
            }
        }
    }

    /// Drops the reservations of other jobs that overlap `allocations`, which a claim or
    /// preemption gives to job `id`.
    pub(crate) fn drop_overlapping_reservations(&mut self, id: u64, allocations: &[Allocation]) {
        self.bookings.retain(|other, booking| {
            let overlaps = booking.allocations.iter().any(|allocation| {
                allocations.iter().any(|new| {
                    new.machine == allocation.machine && new.mask.intersects(allocation.mask)
                })
            });
            *other == id || !booking.is_reservation() || !overlaps
        });
    }
}

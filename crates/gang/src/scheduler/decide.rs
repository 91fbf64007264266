use {
    super::{Cycle, Scheduler},
    crate::{
        Decision,
        fault::Fault,
        fleet::{Capacity, Filter},
        reclaim::{Holders, Kind, Plan, Search},
        record::{Key, Record},
    },
    model::job::Class,
    std::{
        cmp::{Ordering, Reverse},
        collections::BinaryHeap,
        time::Instant,
    },
};

/// Seconds by which accelerators in use are charged to the share of an account in advance. Without
/// this, the account with the lowest share could take the whole cluster in one burst.
const HELD_SHARE_SECONDS: f64 = 60.0;

/// Sort key of the job at the head of a queue; lower ones are served first.
#[derive(Clone, Copy, Debug, PartialEq)]
struct Head {
    rank: u8,
    share: f64,
    /// Accelerators of a sweep, larger first; 0 for other jobs.
    size: Reverse<u32>,
    key: Key,
}

impl Eq for Head {}

impl PartialOrd for Head {
    fn partial_cmp(&self, other: &Head) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for Head {
    fn cmp(&self, other: &Head) -> Ordering {
        let by_share = self.share.total_cmp(&other.share);
        self.rank
            .cmp(&other.rank)
            .then(by_share)
            .then(self.size.cmp(&other.size))
            .then(self.key.cmp(&other.key))
    }
}

impl Scheduler {
    /// Returns proposals for the present state. Call it again until it returns none.
    pub fn decide(&mut self, now: Instant) -> Vec<Decision> {
        if !std::mem::take(&mut self.dirty) {
            return Vec::new();
        }
        while let Some(id) = self.queue.pop_due(now) {
            self.enqueue(id);
        }
        let mut decisions = Vec::new();
        self.reclaim_misplaced(&mut decisions);
        self.check_health(now, &mut decisions);
        self.refresh_proof();
        let mut cycle = Cycle {
            now,
            available: self.available(),
            closed: self.closed_centres(),
            blocked: Vec::new(),
            tries_left: self.settings.max_attempted_placements,
            sweeps: None,
            decisions,
        };
        self.advance_bookings(&mut cycle);
        self.claim_guarantees(false, &mut cycle);
        self.serve_queues(&mut cycle);
        self.claim_guarantees(true, &mut cycle);
        self.reserve(&mut cycle);
        self.compact(&mut cycle);
        self.report_shortfalls(&mut cycle.decisions);
        self.dirty |= !cycle.decisions.is_empty() || cycle.tries_left == 0;
        cycle.decisions
    }

    /// Serves the queues by rank, then by the share of the account.
    fn serve_queues(&mut self, cycle: &mut Cycle) {
        let mut heap = BinaryHeap::new();
        for (.., key) in self.queue.heads() {
            if let Some(record) = self.jobs.get(&key.1) {
                heap.push(Reverse(self.head(record, key, cycle.now)));
            }
        }
        while let Some(Reverse(head)) = heap.pop() {
            let Some(record) = self.jobs.get(&head.key.1) else {
                continue;
            };
            let present = self.head(record, head.key, cycle.now);
            if present > head {
                heap.push(Reverse(present));
                continue;
            }
            let (account, class, requirements) =
                (record.account, record.class, record.requirements());
            let booked = self
                .bookings
                .get(&head.key.1)
                .is_some_and(|booking| !booking.is_reservation());
            let done =
                booked || self.propose_failure(head.key.1, cycle) || self.serve_one(head, cycle);
            if !done {
                cycle.blocked.push(head.key.1);
                continue;
            }
            if let Some(key) = self
                .queue
                .next_after(account, class, &requirements, head.key)
                && let Some(record) = self.jobs.get(&key.1)
            {
                heap.push(Reverse(self.head(record, key, cycle.now)));
            }
        }
    }

    fn head(&self, record: &Record, key: Key, now: Instant) -> Head {
        let usage = &self.usages[record.account as usize];
        let weight = self
            .account(record.account)
            .map_or(1, |account| account.weight.max(1));
        let ahead = f64::from(usage.held) * HELD_SHARE_SECONDS / f64::from(weight);
        let rank = self.rank(record, now);
        Head {
            rank,
            share: usage.weighted_seconds + ahead,
            size: Reverse(if rank == 2 { record.accelerators() } else { 0 }),
            key,
        }
    }

    /// Rank of a job: 0 for urgent and 1 for standard jobs and for sweeps that have waited long enough,
    /// 2 for other sweeps.
    pub(crate) fn rank(&self, record: &Record, now: Instant) -> u8 {
        match record.class {
            Class::Urgent => 0,
            Class::Standard => 1,
            Class::Sweep
                if self.waited_ms(record, now)
                    >= self.settings.sweep_promotion_age.as_millis() as u64 =>
            {
                1
            }
            Class::Sweep => 2,
        }
    }

    /// Milliseconds since the submission of a job.
    pub(crate) fn waited_ms(&self, record: &Record, now: Instant) -> u64 {
        self.wall_at(now)
            .unwrap_or(0)
            .saturating_sub(record.submitted_ms)
    }

    fn serve_one(&mut self, head: Head, cycle: &mut Cycle) -> bool {
        let id = head.key.1;
        let Some(record) = self.jobs.get(&id) else {
            return false;
        };
        let queue_id = (record.account, record.class, record.requirements());
        if self.unplaceable.get(&queue_id) == Some(&self.epoch) {
            return false;
        }
        // The remaining queues are served in the next cycle.
        if cycle.tries_left == 0 {
            return false;
        }
        cycle.tries_left -= 1;
        let done = self.within_quota(id)
            && (self.borrow(id, cycle) || self.preempt_sweeps(id, head.rank, cycle));
        if !done {
            if self.unplaceable.len() > MAX_UNPLACEABLE {
                self.unplaceable.clear();
            }
            self.unplaceable.insert(queue_id, self.epoch);
        }
        done
    }

    /// Places a job on free capacity without counting it against a guarantee.
    fn borrow(&mut self, id: u64, cycle: &mut Cycle) -> bool {
        let Some(record) = self.jobs.get(&id) else {
            return false;
        };
        let centres = self.open_centres(record, cycle, true);
        if record.is_preemptible() || self.has_fault(Fault::BackfillNonPreemptible) {
            let non_preemptible = !record.is_preemptible();
            return match self.pack_gang(&cycle.available, record, &record.shape, &centres) {
                Some(allocations) if !non_preemptible || self.admit(id, None, &allocations) => {
                    self.place(id, allocations, None, cycle)
                }
                _ => false,
            };
        }
        // Jobs that cannot be preempted avoid the placements of the proof where possible.
        let capacity = self.unreserved(id, cycle);
        let mut clear = capacity.clone();
        for placement in self
            .proof
            .placements
            .iter()
            .filter(|placement| placement.job.is_none())
        {
            placement
                .allocations
                .iter()
                .for_each(|allocation| clear.hold(allocation));
        }
        for capacity in [clear, capacity] {
            let Some(record) = self.jobs.get(&id) else {
                return false;
            };
            if let Some(allocations) = self.pack_gang(&capacity, record, &record.shape, &centres)
                && self.admit(id, None, &allocations)
            {
                return self.place(id, allocations, None, cycle);
            }
        }
        false
    }

    /// Books allocations for an urgent or standard job by preempting sweeps. Returns whether it did.
    fn preempt_sweeps(&mut self, id: u64, rank: u8, cycle: &mut Cycle) -> bool {
        let Some(record) = self.jobs.get(&id).filter(|_| rank < 2) else {
            return false;
        };
        let sweeps = match cycle.sweeps.take() {
            Some((least, sweeps)) if least == rank => sweeps,
            _ => self.preemptible_sweeps(rank, cycle),
        };
        let plan = self.plan_preemption(id, record, &sweeps, cycle);
        cycle.sweeps = Some((rank, sweeps));
        let Some(plan) = plan else {
            return false;
        };
        if !record.is_preemptible() && !self.admit(id, None, &plan.allocations) {
            return false;
        }
        self.book(id, Kind::Preemption, plan.allocations, &plan.holders, cycle);
        // The next job must not use the sweeps that are reclaimed for this one.
        cycle.sweeps = None;
        true
    }

    /// Sweeps that may be preempted for a job of `rank`. Those on reserved accelerators are left to the
    /// reservation.
    fn preemptible_sweeps(&self, rank: u8, cycle: &Cycle) -> Holders {
        self.holders(|job, other| {
            other.class == Class::Sweep
                && other.borrowed
                && other.is_preemptible()
                && self.rank(other, cycle.now) > rank
                && !self.is_reserved(u64::MAX, job)
        })
    }

    fn plan_preemption(
        &self,
        id: u64,
        record: &Record,
        sweeps: &Holders,
        cycle: &Cycle,
    ) -> Option<Plan> {
        if sweeps.jobs.is_empty() {
            return None;
        }
        let centres = self.open_centres(record, cycle, true);
        let mut free = self.free_or_ending(cycle);
        self.hold_reservations(id, &mut free);
        let search = Search {
            fleet: &self.fleet,
            free: &free,
            holders: sweeps,
            minimize_wait: false,
        };
        let avoid = self.avoided(record, &record.shape, &centres);
        let filter = Filter {
            centres: &centres,
            avoid,
        };
        search.plans(&record.shape, filter).into_iter().next()
    }

    /// Capacity for a job that cannot be preempted: without reservations of other jobs.
    pub(crate) fn unreserved(&self, id: u64, cycle: &Cycle) -> Capacity {
        let mut capacity = cycle.available.clone();
        self.hold_reservations(id, &mut capacity);
        capacity
    }

    /// Subtracts the reservations of other jobs from `capacity`.
    pub(crate) fn hold_reservations(&self, id: u64, capacity: &mut Capacity) {
        for (other, booking) in &self.bookings {
            if *other != id && booking.is_reservation() {
                for allocation in &booking.allocations {
                    let resources = &mut capacity.0[allocation.machine as usize];
                    resources.mask = resources.mask.difference(allocation.mask);
                    resources.cpus -= i64::from(allocation.cpus);
                    resources.memory_mb -= i64::from(allocation.memory_mb);
                }
            }
        }
    }
}

/// Maximum number of entries in `Scheduler::unplaceable`; bounds memory in bursts with many different
/// shapes.
const MAX_UNPLACEABLE: usize = 16_384;

use {
    super::{Cycle, Scheduler},
    crate::{
        fleet::Filter,
        reclaim::{Holders, Kind, Search},
        record::{Phase, Record},
    },
    std::{
        collections::BTreeSet,
        time::{Duration, Instant},
    },
};

/// Minimum time between two searches for reservations.
const RESERVE_INTERVAL: Duration = Duration::from_secs(1);

impl Scheduler {
    /// Makes reservations for the gangs that have waited longest, where accelerators are expected to
    /// become free soonest.
    pub(crate) fn reserve(&mut self, cycle: &mut Cycle) {
        let elapsed = self
            .reserved_at
            .map(|last| cycle.now.saturating_duration_since(last));
        if elapsed.is_some_and(|elapsed| elapsed < RESERVE_INTERVAL) {
            return;
        }
        let reservations = self
            .bookings
            .values()
            .filter(|booking| booking.is_reservation())
            .count();
        let left = self.settings.max_reservations.saturating_sub(reservations);
        if left == 0 || cycle.blocked.is_empty() {
            return;
        }
        self.reserved_at = Some(cycle.now);
        let min_wait_ms = self.settings.reserve_after.as_millis() as u64;
        let mut starving: Vec<_> = cycle
            .blocked
            .iter()
            .filter(|id| !self.bookings.contains_key(id))
            .filter_map(|id| Some((self.jobs.get(id)?, *id)))
            .filter(|(record, id)| {
                record.phase == Phase::Queued
                    && self.rank(record, cycle.now) < 2
                    && self.waited_ms(record, cycle.now) >= min_wait_ms
                    && self.within_quota(*id)
            })
            .map(|(record, id)| (record.submitted_ms, id))
            .collect();
        starving.sort_unstable();
        for (_, id) in starving.into_iter().take(left) {
            self.reserve_one(id, cycle);
        }
    }

    fn reserve_one(&mut self, id: u64, cycle: &mut Cycle) {
        let Some(record) = self.jobs.get(&id) else {
            return;
        };
        // A gang that fits is blocked by the guarantees, not by running jobs.
        let centres = self.open_centres(record, cycle, true);
        let capacity = self.unreserved(id, cycle);
        if self
            .pack_gang(&capacity, record, &record.shape, &centres)
            .is_some()
        {
            return;
        }
        let mut holders = Holders::new(self.fleet.machines().len());
        for (other, record) in &self.jobs {
            if !record.allocations.is_empty() && !record.is_ending() {
                holders.add(
                    *other,
                    &record.allocations,
                    self.remaining(record, cycle.now),
                );
            }
        }
        let mut free = self.free_or_ending(cycle);
        self.hold_reservations(id, &mut free);
        // Machines with reservations for other jobs are left out.
        for booking in self
            .bookings
            .values()
            .filter(|booking| booking.is_reservation())
        {
            for allocation in &booking.allocations {
                free.0[allocation.machine as usize].schedulable = false;
            }
        }
        let search = Search {
            fleet: &self.fleet,
            free: &free,
            holders: &holders,
            minimize_wait: true,
        };
        let avoid = self.avoided(record, &record.shape, &centres);
        let filter = Filter {
            centres: &centres,
            avoid,
        };
        if let Some(plan) = search.plans(&record.shape, filter).into_iter().next() {
            self.book(
                id,
                Kind::Reservation,
                plan.allocations,
                &BTreeSet::new(),
                cycle,
            );
        }
    }

    /// Tells whether `job` runs on accelerators that are reserved for a job other than `id`.
    pub(crate) fn is_reserved(&self, id: u64, job: u64) -> bool {
        let Some(record) = self.jobs.get(&job) else {
            return false;
        };
        let reservations = self
            .bookings
            .iter()
            .filter(|(other, b)| **other != id && b.is_reservation());
        reservations
            .flat_map(|(_, booking)| &booking.allocations)
            .any(|allocation| {
                record
                    .allocations
                    .iter()
                    .any(|h| h.machine == allocation.machine && h.mask.intersects(allocation.mask))
            })
    }

    /// Expected seconds until a job ends, from earlier run times of its account and class. The declared
    /// run time is not used.
    pub(crate) fn remaining(&self, record: &Record, now: Instant) -> u64 {
        let elapsed = record.running_since.map_or(0.0, |since| {
            now.saturating_duration_since(since).as_secs_f64()
        });
        let history = &self.usages[record.account as usize].history;
        match history.get(&record.class) {
            Some(history) => history.remaining(elapsed) as u64,
            None => elapsed.max(1.0) as u64,
        }
    }
}

use {
    super::{Cycle, Scheduler},
    crate::{
        Reason,
        fleet::{Filter, pack},
        reclaim::{Booking, Holders, Kind, Plan, Search},
    },
    std::{cmp::Reverse, time::Duration},
};

/// Time a gang loses by checkpoint, stop and restart, in addition to the work since its last
/// checkpoint.
const MOVE_COST_SECONDS: u64 = 10;

/// Minimum time between two searches for jobs to move.
const COMPACTION_CHECK_INTERVAL: Duration = Duration::from_secs(1);

/// Number of queued gangs, largest first, that one compaction tries to make room for.
const MAX_COMPACTION_TARGETS: usize = 4;

impl Scheduler {
    /// Moves preemptible jobs by checkpoint and restart if that makes room for the largest queued gangs
    /// and costs less accelerator time than these have waited for.
    pub(crate) fn compact(&mut self, cycle: &mut Cycle) {
        let elapsed = self
            .compacted_at
            .map(|last| cycle.now.saturating_duration_since(last));
        if elapsed.is_some_and(|elapsed| elapsed < self.settings.compaction_interval) {
            return;
        }
        let elapsed = self
            .compaction_checked_at
            .map(|last| cycle.now.saturating_duration_since(last));
        if elapsed.is_some_and(|elapsed| elapsed < COMPACTION_CHECK_INTERVAL) {
            return;
        }
        self.compaction_checked_at = Some(cycle.now);
        let mut queued: Vec<_> = cycle
            .blocked
            .iter()
            .filter_map(|id| Some((Reverse(self.jobs.get(id)?.accelerators()), *id)))
            .collect();
        queued.sort_unstable();
        for (_, id) in queued.into_iter().take(MAX_COMPACTION_TARGETS) {
            let mut next = Some(id);
            while let Some(id) = next.filter(|id| self.compact_for(*id, cycle)) {
                self.compacted_at = Some(cycle.now);
                next = self.jobs.get(&id).and_then(|record| {
                    let key = (record.submitted_ms, id);
                    let after = self.queue.next_after(
                        record.account,
                        record.class,
                        &record.requirements(),
                        key,
                    );
                    after.map(|(_, id)| id)
                });
            }
        }
    }

    /// Makes room for one queued gang. Returns whether it did.
    fn compact_for(&mut self, id: u64, cycle: &mut Cycle) -> bool {
        if !self.bookings.get(&id).is_none_or(Booking::is_reservation) || !self.within_quota(id) {
            return false;
        }
        let Some(record) = self.jobs.get(&id) else {
            return false;
        };
        let size = record.accelerators();
        let centres = self.open_centres(record, cycle, true);
        let mut free = self.free_or_ending(cycle);
        self.hold_reservations(id, &mut free);
        let total: u32 = free
            .0
            .iter()
            .zip(self.fleet.machines())
            .filter(|(resources, machine)| {
                resources.schedulable && centres.get(machine.centre).is_some_and(|open| *open)
            })
            .map(|(resources, _)| resources.mask.len())
            .sum();
        if total < size {
            return false;
        }
        let holders = self.holders(|job, other| {
            other.borrowed && other.is_preemptible() && !self.is_reserved(id, job)
        });
        let search = Search {
            fleet: &self.fleet,
            free: &free,
            holders: &holders,
            minimize_wait: false,
        };
        let avoid = self.avoided(record, &record.shape, &centres);
        let filter = Filter {
            centres: &centres,
            avoid,
        };
        let plans = search.plans(&record.shape, filter);
        let gain = u64::from(size) * self.waited_ms(record, cycle.now) / 1000;
        for plan in plans {
            let moved: u32 = plan
                .holders
                .iter()
                .filter_map(|job| self.jobs.get(job))
                .map(|other| other.accelerators())
                .sum();
            // For a sweep, moving at least as many accelerators as it needs gains nothing.
            if moved >= size && self.rank_of(id, cycle) == 2 {
                continue;
            }
            if plan.cost.primary + u64::from(moved) * MOVE_COST_SECONDS > gain {
                continue;
            }
            if !self.all_fit_elsewhere(id, &plan, &holders, cycle) {
                continue;
            }
            let preemptible = self
                .jobs
                .get(&id)
                .is_some_and(|record| record.is_preemptible());
            if !preemptible && !self.admit(id, None, &plan.allocations) {
                continue;
            }
            for victim in &plan.holders {
                self.reclaim_unpinned(*victim, Reason::Compaction { job: id }, cycle);
            }
            self.book(id, Kind::Preemption, plan.allocations, &plan.holders, cycle);
            return true;
        }
        false
    }

    fn rank_of(&self, id: u64, cycle: &Cycle) -> u8 {
        self.jobs
            .get(&id)
            .map_or(0, |record| self.rank(record, cycle.now))
    }

    /// Tells whether all jobs moved by `plan` fit elsewhere at the same time. Sweeps need not, since
    /// they can wait; the other jobs may be placed where sweeps run.
    fn all_fit_elsewhere(&self, id: u64, plan: &Plan, holders: &Holders, cycle: &Cycle) -> bool {
        let mut capacity = cycle.available.clone();
        for (job, holder) in &holders.jobs {
            let sweep = self
                .jobs
                .get(job)
                .is_some_and(|other| self.rank(other, cycle.now) == 2);
            if sweep || plan.holders.contains(job) {
                holder
                    .allocations
                    .iter()
                    .for_each(|allocation| capacity.free(allocation));
            }
        }
        self.hold_reservations(id, &mut capacity);
        plan.allocations
            .iter()
            .for_each(|allocation| capacity.hold(allocation));
        plan.holders.iter().all(|job| {
            let Some(other) = self.jobs.get(job) else {
                return false;
            };
            if self.rank(other, cycle.now) == 2 {
                return true;
            }
            let centres = self.open_centres(other, cycle, true);
            let filter = Filter {
                centres: &centres,
                avoid: &[],
            };
            let allocations = pack(&self.fleet, &capacity, &other.shape, filter);
            allocations
                .iter()
                .flatten()
                .for_each(|allocation| capacity.hold(allocation));
            allocations.is_some()
        })
    }
}

use {
    super::{Scheduler, Turn},
    crate::{
        Reason,
        fleet::{Filter, pack},
        reclaim::{Booking, Holders, Kind, Plan, Search},
    },
    std::{cmp::Reverse, time::Duration},
};

/// Seconds that a gang loses by a checkpoint, a stop and a new start, beside the work since its last
/// checkpoint.
const MOVE_SECONDS: u64 = 10;

/// Time between two looks for work to move.
const CONSIDER_EVERY: Duration = Duration::from_secs(1);

/// Gangs for which one compaction tries to make room, the largest first.
const COMPACT_TRIES: usize = 4;

impl Scheduler {
    /// Moves stoppable work by checkpoint when that frees places for the largest queued gangs and
    /// costs less accelerator time than they have waited.
    pub(crate) fn compact(&mut self, turn: &mut Turn) {
        let elapsed = self
            .compacted
            .map(|last| turn.now.saturating_duration_since(last));
        if elapsed.is_some_and(|elapsed| elapsed < self.settings.compaction_interval) {
            return;
        }
        let considered = self
            .considered
            .map(|last| turn.now.saturating_duration_since(last));
        if considered.is_some_and(|considered| considered < CONSIDER_EVERY) {
            return;
        }
        self.considered = Some(turn.now);
        let mut queued: Vec<_> = turn
            .blocked
            .iter()
            .filter_map(|id| Some((Reverse(self.jobs.get(id)?.accelerators()), *id)))
            .collect();
        queued.sort_unstable();
        for (_, id) in queued.into_iter().take(COMPACT_TRIES) {
            let mut next = Some(id);
            while let Some(id) = next.filter(|id| self.compact_one(*id, turn)) {
                self.compacted = Some(turn.now);
                next = self.jobs.get(&id).and_then(|record| {
                    let key = (record.submitted_ms, id);
                    let after = self
                        .queue
                        .after(record.account, record.class, &record.ask(), key);
                    after.map(|(_, id)| id)
                });
            }
        }
    }

    /// Makes room for one gang. Returns whether it did.
    fn compact_one(&mut self, id: u64, turn: &mut Turn) -> bool {
        if !self.bookings.get(&id).is_none_or(Booking::is_soft) || !self.within_quota(id) {
            return false;
        }
        let Some(record) = self.jobs.get(&id) else {
            return false;
        };
        let size = record.accelerators();
        let centres = self.open_centres(record, turn, true);
        let mut free = self.free_of(turn);
        self.hold_soft(id, &mut free);
        let total: u32 = free
            .0
            .iter()
            .zip(self.fleet.machines())
            .filter(|(space, machine)| {
                space.open && centres.get(machine.centre).is_some_and(|open| *open)
            })
            .map(|(space, _)| space.mask.len())
            .sum();
        if total < size {
            return false;
        }
        let holders = self.holders(|job, other| {
            other.borrowed && other.is_stoppable() && !self.is_reserved(id, job)
        });
        let search = Search {
            fleet: &self.fleet,
            free: &free,
            holders: &holders,
            waits: false,
        };
        let avoid = self.avoided(record, &record.shape, &centres);
        let filter = Filter {
            centres: &centres,
            avoid,
        };
        let plans = search.plans(&record.shape, filter);
        let gain = u64::from(size) * self.waited_ms(record, turn.now) / 1000;
        for plan in plans {
            let moved: u32 = plan
                .holders
                .iter()
                .filter_map(|job| self.jobs.get(job))
                .map(|other| other.accelerators())
                .sum();
            // Moving as many accelerators of sweeps as the gang needs gains nothing.
            if moved >= size && self.rank_of(id, turn) == 2 {
                continue;
            }
            if plan.cost.main + u64::from(moved) * MOVE_SECONDS > gain {
                continue;
            }
            if !self.fit_elsewhere(id, &plan, &holders, turn) {
                continue;
            }
            let stoppable = self
                .jobs
                .get(&id)
                .is_some_and(|record| record.is_stoppable());
            if !stoppable && !self.admit(id, None, &plan.parts) {
                continue;
            }
            for victim in &plan.holders {
                self.ask(*victim, Reason::Compaction { job: id }, turn);
            }
            self.book(id, Kind::Firm, plan.parts, &plan.holders, turn);
            return true;
        }
        false
    }

    fn rank_of(&self, id: u64, turn: &Turn) -> u8 {
        self.jobs
            .get(&id)
            .map_or(0, |record| self.rank(record, turn.now))
    }

    /// Tells whether all gangs that a plan moves fit elsewhere at once. Sweeps need not; they wait.
    /// Other work may take the place of sweeps.
    fn fit_elsewhere(&self, id: u64, plan: &Plan, holders: &Holders, turn: &Turn) -> bool {
        let mut room = turn.view.clone();
        for (job, holder) in &holders.jobs {
            let sweep = self
                .jobs
                .get(job)
                .is_some_and(|other| self.rank(other, turn.now) == 2);
            if sweep || plan.holders.contains(job) {
                holder.parts.iter().for_each(|part| room.free(part));
            }
        }
        self.hold_soft(id, &mut room);
        plan.parts.iter().for_each(|part| room.hold(part));
        plan.holders.iter().all(|job| {
            let Some(other) = self.jobs.get(job) else {
                return false;
            };
            if self.rank(other, turn.now) == 2 {
                return true;
            }
            let centres = self.open_centres(other, turn, true);
            let filter = Filter {
                centres: &centres,
                avoid: &[],
            };
            let parts = pack(&self.fleet, &room, &other.shape, filter);
            parts.iter().flatten().for_each(|part| room.hold(part));
            parts.is_some()
        })
    }
}

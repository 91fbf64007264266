use {
    super::{Scheduler, Turn},
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

/// Time between two searches for reservations.
const RESERVE_EVERY: Duration = Duration::from_secs(1);

impl Scheduler {
    /// Reserves the places that become free soonest for the gangs that have waited longest.
    pub(crate) fn reserve(&mut self, turn: &mut Turn) {
        let elapsed = self
            .reserved
            .map(|last| turn.now.saturating_duration_since(last));
        if elapsed.is_some_and(|elapsed| elapsed < RESERVE_EVERY) {
            return;
        }
        let soft = self
            .bookings
            .values()
            .filter(|booking| booking.is_soft())
            .count();
        let left = self.settings.max_reservations.saturating_sub(soft);
        if left == 0 || turn.blocked.is_empty() {
            return;
        }
        self.reserved = Some(turn.now);
        let bound = self.settings.reserve_after.as_millis() as u64;
        let mut starving: Vec<_> = turn
            .blocked
            .iter()
            .filter(|id| !self.bookings.contains_key(id))
            .filter_map(|id| Some((self.jobs.get(id)?, *id)))
            .filter(|(record, id)| {
                record.phase == Phase::Queued
                    && self.rank(record, turn.now) < 2
                    && self.waited_ms(record, turn.now) >= bound
                    && self.within_quota(*id)
            })
            .map(|(record, id)| (record.submitted_ms, id))
            .collect();
        starving.sort_unstable();
        for (_, id) in starving.into_iter().take(left) {
            self.reserve_one(id, turn);
        }
    }

    fn reserve_one(&mut self, id: u64, turn: &mut Turn) {
        let Some(record) = self.jobs.get(&id) else {
            return;
        };
        // A gang that fits is held up by the guarantees, not by other work.
        let centres = self.open_centres(record, turn, true);
        let room = self.view_of(id, turn);
        if self.find(&room, record, &record.shape, &centres).is_some() {
            return;
        }
        let mut holders = Holders::new(self.fleet.machines().len());
        for (other, record) in &self.jobs {
            if !record.parts.is_empty() && !record.is_ending() {
                holders.add(*other, &record.parts, self.remaining(record, turn.now));
            }
        }
        let mut free = self.free_of(turn);
        self.hold_soft(id, &mut free);
        // Places reserved for others are not to be waited for either.
        for booking in self.bookings.values().filter(|booking| booking.is_soft()) {
            for part in &booking.parts {
                free.0[part.machine as usize].open = false;
            }
        }
        let search = Search {
            fleet: &self.fleet,
            free: &free,
            holders: &holders,
            waits: true,
        };
        let avoid = self.avoided(record, &record.shape, &centres);
        let filter = Filter {
            centres: &centres,
            avoid,
        };
        if let Some(plan) = search.plans(&record.shape, filter).into_iter().next() {
            self.book(id, Kind::Starving, plan.parts, &BTreeSet::new(), turn);
        }
    }

    /// Tells whether a job runs on a place that is reserved for another job than `id`.
    pub(crate) fn is_reserved(&self, id: u64, job: u64) -> bool {
        let Some(record) = self.jobs.get(&job) else {
            return false;
        };
        let soft = self
            .bookings
            .iter()
            .filter(|(other, b)| **other != id && b.is_soft());
        soft.flat_map(|(_, booking)| &booking.parts).any(|part| {
            record
                .parts
                .iter()
                .any(|h| h.machine == part.machine && h.mask.meets(part.mask))
        })
    }

    /// Expected seconds until a job ends, from what was observed of its account and class. The
    /// declared run time is not used.
    pub(crate) fn remaining(&self, record: &Record, now: Instant) -> u64 {
        let elapsed = record.running.map_or(0.0, |since| {
            now.saturating_duration_since(since).as_secs_f64()
        });
        let history = &self.ledgers[record.account as usize].history;
        match history.get(&record.class) {
            Some(history) => history.remaining(elapsed) as u64,
            None => elapsed.max(1.0) as u64,
        }
    }
}

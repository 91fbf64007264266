use {
    super::{Cycle, Scheduler},
    crate::{
        Reason,
        fleet::Capacity,
        proof::GuaranteeId,
        reclaim::{Booking, Kind},
        record::{Phase, Record},
    },
    std::{collections::BTreeSet, time::Duration},
};

/// Age at which an unused reservation is dropped and planned again.
const MAX_RESERVATION_AGE: Duration = Duration::from_secs(600);

impl Scheduler {
    /// Places the jobs whose booked allocations have become free and cancels invalid bookings.
    pub(crate) fn advance_bookings(&mut self, cycle: &mut Cycle) {
        let ids: Vec<_> = self.bookings.keys().copied().collect();
        for id in ids {
            let Some(booking) = self.bookings.get(&id).cloned() else {
                continue;
            };
            if self.propose_failure(id, cycle) {
                continue;
            }
            let Some(record) = self.jobs.get(&id) else {
                continue;
            };
            if !self.is_usable(record, &booking, cycle) {
                self.cancel_booking(id, &booking, cycle);
            } else if booking.is_reservation() {
                self.promote_reservation(id, booking, cycle);
            } else if self.is_free(&booking) {
                if !self.within_quota(id) {
                    if !self.is_waiting_for_victims(&booking) {
                        self.cancel_booking(id, &booking, cycle);
                    }
                    continue;
                }
                self.place_booked(id, booking, cycle);
            } else if !self.is_waiting_for_victims(&booking) {
                self.cancel_booking(id, &booking, cycle);
            }
        }
    }

    /// Proposes the placement of a job on its booked allocations, which must be free.
    pub(crate) fn place_booked(&mut self, id: u64, booking: Booking, cycle: &mut Cycle) {
        let guarantee = match &booking.kind {
            Kind::Claim(name) => Some(name.as_str()),
            _ => None,
        };
        // `Cycle::available` excludes the booked allocations already; placing the job keeps it so.
        self.bookings.remove(&id);
        if !self.place(id, booking.allocations.clone(), guarantee, cycle) {
            self.cancel_booking(id, &booking, cycle);
        }
    }

    /// Tells whether the job may still use the booked allocations.
    fn is_usable(&self, record: &Record, booking: &Booking, cycle: &Cycle) -> bool {
        let queued = record.phase == Phase::Queued && !record.cancelled;
        let borrows = !matches!(booking.kind, Kind::Claim(_));
        let centres = self.open_centres(record, cycle, borrows);
        let fresh = !booking.is_reservation()
            || cycle.now.saturating_duration_since(booking.since) < MAX_RESERVATION_AGE;
        let guaranteed = match &booking.kind {
            Kind::Claim(name) => self.guarantee_id_of(record, name).is_some(),
            _ => true,
        };
        queued
            && fresh
            && guaranteed
            && booking.allocations.iter().all(|allocation| {
                let machine = self.fleet.machine(allocation.machine);
                machine.in_service() && centres.get(machine.centre).is_some_and(|open| *open)
            })
    }

    fn guarantee_id_of(&self, record: &Record, guarantee: &str) -> Option<GuaranteeId> {
        let name = &self.account_names[record.account as usize];
        let (index, _, account) = self.config.accounts.get_full(name)?;
        let nth = account.guarantees.get_index_of(guarantee)?;
        Some((index as u32, nth as u32))
    }

    /// Cancels a booking; the job is scheduled like any other queued job.
    fn cancel_booking(&mut self, id: u64, booking: &Booking, cycle: &mut Cycle) {
        self.bookings.remove(&id);
        self.epoch += 1;
        self.dirty = true;
        if !booking.is_reservation() {
            self.pinned = None;
            self.refresh_proof();
            cycle.closed = self.closed_centres();
            cycle.available = self.available();
        }
    }

    /// Tells whether all booked allocations are free.
    pub(crate) fn is_free(&self, booking: &Booking) -> bool {
        fits(&self.free_capacity, booking)
    }

    /// Tells whether victims, or other ending jobs on the same machines, have not stopped yet.
    fn is_waiting_for_victims(&self, booking: &Booking) -> bool {
        let ending = |record: &Record| record.is_ending() && !record.allocations.is_empty();
        booking
            .victims
            .iter()
            .any(|victim| self.jobs.get(victim).is_some_and(ending))
            || self
                .jobs
                .values()
                .filter(|record| ending(record))
                .any(|record| {
                    record.allocations.iter().any(|held| {
                        booking
                            .allocations
                            .iter()
                            .any(|allocation| allocation.machine == held.machine)
                    })
                })
    }

    /// Turns a reservation into a preemption booking once its allocations are free, held by ending
    /// jobs, or held by preemptible jobs that were backfilled after it was made.
    fn promote_reservation(&mut self, id: u64, booking: Booking, cycle: &mut Cycle) {
        if !self.within_quota(id) {
            return;
        }
        let mut capacity = cycle.available.clone();
        let mut victims = BTreeSet::new();
        for (other, record) in &self.jobs {
            let touches = record.allocations.iter().any(|held| {
                booking.allocations.iter().any(|allocation| {
                    allocation.machine == held.machine
                        && (allocation.mask.intersects(held.mask)
                            || allocation.cpus > 0
                            || allocation.memory_mb > 0)
                })
            });
            if !touches {
                continue;
            }
            let later = record
                .placed_at
                .is_some_and(|placed| placed >= booking.since)
                && record.phase == Phase::Committed
                && record.borrowed
                && record.is_preemptible();
            let overlaps = record.allocations.iter().any(|held| {
                booking.allocations.iter().any(|allocation| {
                    allocation.machine == held.machine && allocation.mask.intersects(held.mask)
                })
            });
            if record.is_ending() || (later && overlaps) {
                record
                    .allocations
                    .iter()
                    .for_each(|allocation| capacity.free(allocation));
                if !record.is_ending() {
                    victims.insert(*other);
                }
            }
        }
        // Ending jobs may be stopping for another booking.
        self.hold_bookings(&mut capacity);
        self.hold_reservations(id, &mut capacity);
        if !fits(&capacity, &booking) {
            return;
        }
        let preemptible = self
            .jobs
            .get(&id)
            .is_some_and(|record| record.is_preemptible());
        if !preemptible && !self.admit(id, None, &booking.allocations) {
            self.cancel_booking(id, &booking, cycle);
            return;
        }
        for victim in &victims {
            self.reclaim_unpinned(*victim, Reason::Reservation { job: id }, cycle);
        }
        booking
            .allocations
            .iter()
            .for_each(|allocation| cycle.available.hold(allocation));
        let booking = Booking {
            kind: Kind::Preemption,
            victims: victims.into_iter().collect(),
            ..booking
        };
        self.bookings.insert(id, booking);
    }
}

/// Tells whether all allocations of a booking fit into `capacity`.
fn fits(capacity: &Capacity, booking: &Booking) -> bool {
    let mut rest = capacity.clone();
    booking.allocations.iter().all(|allocation| {
        let resources = &mut rest.0[allocation.machine as usize];
        let fits = allocation.mask.difference(resources.mask).len() == 0
            && (allocation.cpus == 0 || resources.cpus >= i64::from(allocation.cpus))
            && (allocation.memory_mb == 0
                || resources.memory_mb >= i64::from(allocation.memory_mb));
        rest.hold(allocation);
        fits
    })
}

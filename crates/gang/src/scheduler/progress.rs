use {
    super::{Scheduler, Turn},
    crate::{
        Reason,
        fleet::Room,
        proof::Slot,
        reclaim::{Booking, Kind},
        record::{Phase, Record},
    },
    std::{collections::BTreeSet, time::Duration},
};

/// A reservation that could not be used for so long is planned again.
const REPLAN_AFTER: Duration = Duration::from_secs(600);

impl Scheduler {
    /// Places the jobs whose kept place has become free, and gives up places that became invalid.
    pub(crate) fn progress(&mut self, turn: &mut Turn) {
        let ids: Vec<_> = self.bookings.keys().copied().collect();
        for id in ids {
            let Some(booking) = self.bookings.get(&id).cloned() else {
                continue;
            };
            if self.give_up(id, turn) {
                continue;
            }
            let Some(record) = self.jobs.get(&id) else {
                continue;
            };
            if !self.is_usable(record, &booking, turn) {
                self.unbook(id, &booking, turn);
            } else if booking.is_soft() {
                self.ripen(id, booking, turn);
            } else if self.is_free(&booking) {
                if !self.within_quota(id) {
                    if !self.awaits(&booking) {
                        self.unbook(id, &booking, turn);
                    }
                    continue;
                }
                self.start(id, booking, turn);
            } else if !self.awaits(&booking) {
                self.unbook(id, &booking, turn);
            }
        }
    }

    /// Places a job on its kept place, which is free.
    pub(crate) fn start(&mut self, id: u64, booking: Booking, turn: &mut Turn) {
        let guarantee = match &booking.kind {
            Kind::Claim(name) => Some(name.as_str()),
            _ => None,
        };
        // The view does not show the place as free; placing it holds it for good.
        self.bookings.remove(&id);
        if !self.place(id, booking.parts.clone(), guarantee, turn) {
            self.unbook(id, &booking, turn);
        }
    }

    /// Tells whether the job may still use the kept place.
    fn is_usable(&self, record: &Record, booking: &Booking, turn: &Turn) -> bool {
        let queued = record.phase == Phase::Queued && !record.cancelled;
        let borrows = !matches!(booking.kind, Kind::Claim(_));
        let centres = self.open_centres(record, turn, borrows);
        let fresh =
            !booking.is_soft() || turn.now.saturating_duration_since(booking.since) < REPLAN_AFTER;
        let guaranteed = match &booking.kind {
            Kind::Claim(name) => self.slot_of(record, name).is_some(),
            _ => true,
        };
        queued
            && fresh
            && guaranteed
            && booking.parts.iter().all(|part| {
                let machine = self.fleet.machine(part.machine);
                machine.in_service() && centres.get(machine.centre).is_some_and(|open| *open)
            })
    }

    fn slot_of(&self, record: &Record, guarantee: &str) -> Option<Slot> {
        let name = &self.names[record.account as usize];
        let (index, _, account) = self.config.accounts.get_full(name)?;
        let nth = account.guarantees.get_index_of(guarantee)?;
        Some((index as u32, nth as u32))
    }

    /// Gives a kept place up; the job is tried like any other.
    fn unbook(&mut self, id: u64, booking: &Booking, turn: &mut Turn) {
        self.bookings.remove(&id);
        self.epoch += 1;
        self.stirred = true;
        if !booking.is_soft() {
            self.firm = None;
            self.refresh();
            turn.closed = self.closed();
            turn.view = self.view();
        }
    }

    /// Tells whether the whole kept place is free.
    pub(crate) fn is_free(&self, booking: &Booking) -> bool {
        fits(&self.room, booking)
    }

    /// Tells whether work that was asked to stop for a kept place has not stopped yet.
    fn awaits(&self, booking: &Booking) -> bool {
        let ending = |record: &Record| record.is_ending() && !record.parts.is_empty();
        booking
            .victims
            .iter()
            .any(|victim| self.jobs.get(victim).is_some_and(ending))
            || self
                .jobs
                .values()
                .filter(|record| ending(record))
                .any(|record| {
                    record.parts.iter().any(|held| {
                        booking
                            .parts
                            .iter()
                            .any(|part| part.machine == held.machine)
                    })
                })
    }

    /// Turns a reservation into a firm booking once everything on it is free, ending, or stoppable
    /// work that came after it.
    fn ripen(&mut self, id: u64, booking: Booking, turn: &mut Turn) {
        if !self.within_quota(id) {
            return;
        }
        let mut room = turn.view.clone();
        let mut victims = BTreeSet::new();
        for (other, record) in &self.jobs {
            let touches = record.parts.iter().any(|held| {
                booking.parts.iter().any(|part| {
                    part.machine == held.machine
                        && (part.mask.meets(held.mask) || part.cpus > 0 || part.memory_mb > 0)
                })
            });
            if !touches {
                continue;
            }
            let later = record.placed.is_some_and(|placed| placed >= booking.since)
                && record.phase == Phase::Held
                && record.borrowed
                && record.is_stoppable();
            let meets = record.parts.iter().any(|held| {
                booking
                    .parts
                    .iter()
                    .any(|part| part.machine == held.machine && part.mask.meets(held.mask))
            });
            if record.is_ending() || (later && meets) {
                record.parts.iter().for_each(|part| room.free(part));
                if !record.is_ending() {
                    victims.insert(*other);
                }
            }
        }
        // Work that ends may do so for another kept place.
        self.hold_firm(&mut room);
        self.hold_soft(id, &mut room);
        if !fits(&room, &booking) {
            return;
        }
        let stoppable = self
            .jobs
            .get(&id)
            .is_some_and(|record| record.is_stoppable());
        if !stoppable && !self.admit(id, None, &booking.parts) {
            self.unbook(id, &booking, turn);
            return;
        }
        for victim in &victims {
            self.ask(*victim, Reason::Reservation { job: id }, turn);
        }
        booking.parts.iter().for_each(|part| turn.view.hold(part));
        let booking = Booking {
            kind: Kind::Firm,
            victims: victims.into_iter().collect(),
            ..booking
        };
        self.bookings.insert(id, booking);
    }
}

/// Tells whether all parts of a booking fit into `room`.
fn fits(room: &Room, booking: &Booking) -> bool {
    let mut rest = room.clone();
    booking.parts.iter().all(|part| {
        let space = &mut rest.0[part.machine as usize];
        let fits = part.mask.without(space.mask).len() == 0
            && (part.cpus == 0 || space.cpus >= i64::from(part.cpus))
            && (part.memory_mb == 0 || space.memory_mb >= i64::from(part.memory_mb));
        rest.hold(part);
        fits
    })
}

use {
    super::{Engine, round::Round},
    crate::{
        order::{Rank, Unit},
        place::{self, Availability, Locality},
    },
    std::time::{Duration, Instant},
    work::{collections::IndexMap, id},
};

/// Time for which places stay reserved, in addition to the longest time that a stop takes. It covers the delivery of the
/// stops and the commit of the ends.
const RESERVATION_MARGIN: Duration = Duration::from_secs(1);

/// Places of a gang for which running work was preempted.
#[derive(Clone, Debug)]
pub(super) struct Reservation {
    /// Upstream of each task.
    upstreams: Vec<id::Upstream>,
    /// Time of the preemption.
    since: Instant,
}

/// Reservations of gangs that wait until preempted work has stopped.
///
/// Without them each round would place the gang anew, give the room that is being freed to other work, and preempt more
/// for the gang once its other choice is taken.
impl Engine {
    /// Reserves places for a gang until the work that runs there has stopped.
    pub(super) fn add_reservation(&mut self, round: &Round<'_>, unit: &Unit<'_>, places: &[usize]) {
        if unit.step.spread.is_some() || unit.needs_own_upstream() {
            return;
        }
        let upstreams = places.iter().map(|place| &round.hosts[*place].upstream.id);
        let reservation = Reservation {
            upstreams: upstreams.cloned().collect(),
            since: self.now,
        };
        self.reservations.insert(unit.first_task, reservation);
    }

    /// Subtracts what is reserved, before any unit is placed. Drops the reservations that are not needed any more or
    /// cannot be kept.
    pub(super) fn subtract_reservations(&mut self, round: &mut Round<'_>, units: &[Unit<'_>]) {
        if self.reservations.is_empty() {
            return;
        }
        let waiting: IndexMap<id::Task, &Unit<'_>> =
            units.iter().map(|unit| (unit.first_task, unit)).collect();
        let limit = self.settings.stop_timeout + RESERVATION_MARGIN;
        let now = self.now;
        self.reservations.retain(|step, reservation| {
            let is_recent = now < reservation.since + limit;
            let unit = waiting
                .get(step)
                .filter(|unit| is_recent && matches!(unit.rank, Rank::Guaranteed | Rank::Urgent));
            let places = unit.and_then(|unit| {
                let places = round.places_of(&reservation.upstreams)?;
                round
                    .has_slots(unit, &places, Availability::Soon)
                    .then_some((unit, places))
            });
            if let Some((unit, places)) = &places {
                round.reserve(unit, places);
                round.reservations.insert(*step, places.clone());
            }
            places.is_some()
        });
    }

    /// Finds places for a gang that has a reservation: its own, or others that are free now. Keeps the reservation if
    /// there are none.
    pub(super) fn find_reserved(
        &self,
        round: &mut Round<'_>,
        unit: &Unit<'_>,
        reserved: Vec<usize>,
        allowed: &[bool],
        locality: Locality,
    ) -> Option<Vec<usize>> {
        round.release(unit, &reserved);
        let is_allowed = reserved.iter().all(|place| allowed[*place]);
        if is_allowed && round.has_slots(unit, &reserved, Availability::Now) {
            return Some(reserved);
        }
        let places = place::gang(unit, &round.hosts, allowed, Availability::Now, locality);
        if places.is_none() {
            round.reserve(unit, &reserved);
        }
        places
    }
}

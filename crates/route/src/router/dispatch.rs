use {
    super::{
        Action, Router,
        flight::Phase,
        flight::{Attempt, Flight},
        seat::Seat,
    },
    crate::queue::{Key, Slots},
    indexmap::IndexMap,
    model::{account::Account, place::permits, request::Class},
    std::time::Instant,
};

/// Fraction of a request's time that it waits before it may cross to another region while its own region
/// has upstreams. The link between regions is slow and paid by volume.
const SPILL: u32 = 4;

/// Which waiting request goes to which upstream.
impl Router {
    /// Binds waiting requests to free slots.
    pub(super) fn dispatch(&mut self, now: Instant, actions: &mut Vec<Action>) {
        self.refresh(now);
        let Some(config) = self.config.clone() else {
            return;
        };
        while !self.queues.is_empty() {
            let mut slots = Slots::default();
            let mut any = false;
            for seat in self.seats.values() {
                slots.usable += u32::from(seat.limit);
                slots.batch += u32::from(seat.batch);
                any |= seat.free() > 0;
            }
            if !any {
                return;
            }
            self.turn = self.turn.wrapping_add(1);
            let (table, flights, turn) = (&self.seats, &self.flights, self.turn);
            let region = &self.settings.site.region;
            let reserve = self.settings.queues.short_reserve;
            let adaptive = self.settings.adaptive_reserve;
            let open: Vec<bool> = self
                .pools
                .iter()
                .map(|pool| pool.is_open(reserve, adaptive))
                .collect();
            let taken = self.queues.take(slots, |key, waiting, batch_due| {
                let account = config.accounts.get(&key.account)?;
                let flight = flights.get(&waiting.request)?;
                let fits = |seat: &Seat| key.class == Class::Short || batch_due || open[seat.pool];
                find(table, key, account, flight, region, turn, now, fits)
            });
            let Some((_, waiting, place)) = taken else {
                return;
            };
            self.send(waiting.request, place, false, now, actions);
        }
    }

    pub(super) fn send(
        &mut self,
        request: u64,
        place: usize,
        hedge: bool,
        now: Instant,
        actions: &mut Vec<Action>,
    ) {
        let Some(flight) = self.flights.get_mut(&request) else {
            return;
        };
        let (service, class) = (flight.head.service.clone(), flight.head.class);
        let account = flight.head.account.clone();
        self.next_attempt += 1;
        let attempt = self.next_attempt;
        flight.phase = Phase::Running;
        flight.attempts.push(attempt);
        flight.hedged |= hedge;
        let Some((name, seat)) = self.seats.get_index_mut(place) else {
            return;
        };
        seat.busy += 1;
        match class {
            Class::Batch => {
                seat.batch += 1;
                self.pools[seat.pool].batch += 1;
            }
            Class::Short => self.pools[seat.pool].short += 1,
        }
        let upstream = name.clone();
        actions.push(Action::Send {
            request,
            attempt,
            upstream: upstream.clone(),
            address: seat.address.clone(),
            site: seat.site.clone(),
            cross_region: seat.site.region != self.settings.site.region,
            hedge,
        });
        let charged = self.latency(&service, class).mean().as_secs_f64();
        self.queues.charge(&account, class, charged);
        let started = now;
        self.attempts.insert(
            attempt,
            Attempt {
                request,
                account,
                class,
                service,
                upstream,
                started,
                charged,
                cancelled: false,
            },
        );
    }

    /// Tells the pools that a short request arrived. It counts for the own region if its account may use it.
    pub(super) fn note_short(&mut self, key: &Key, account: &Account) {
        let home = self.settings.site.region.as_str();
        let local = account.places.iter().any(|place| place.region() == home);
        let config = self.config.as_ref();
        let mut waiting = (0, 0);
        for (other, count) in self.queues.short_lengths(&key.service) {
            let places = config.and_then(|config| config.accounts.get(other));
            let near = places
                .is_some_and(|account| account.places.iter().any(|place| place.region() == home));
            if near {
                waiting.0 += count as u32;
            } else {
                waiting.1 += count as u32;
            }
        }
        for pool in &mut self.pools {
            let near = pool.region == home;
            let permitted = account
                .places
                .iter()
                .any(|place| place.region() == pool.region);
            if pool.service == key.service && permitted && near == local {
                pool.waiting = if near { waiting.0 } else { waiting.1 };
                pool.arrived();
            }
        }
    }
}

/// Finds the best upstream with a free slot: in the own region, then the least loaded.
#[allow(clippy::too_many_arguments)]
pub(super) fn find(
    seats: &IndexMap<String, Seat>,
    key: &Key,
    account: &Account,
    flight: &Flight,
    region: &str,
    turn: usize,
    now: Instant,
    fits: impl Fn(&Seat) -> bool,
) -> Option<usize> {
    let budget = flight
        .head
        .deadline
        .saturating_duration_since(flight.offered);
    let spill = now.duration_since(flight.offered) >= budget / SPILL;
    let mut best: Option<(bool, u32, usize)> = None;
    let mut local = false;
    for step in 0..seats.len() {
        let index = (turn + step) % seats.len();
        let (name, seat) = seats.get_index(index)?;
        if !seat.usable || seat.service != key.service || !permits(account, &seat.site) {
            continue;
        }
        let cross = seat.site.region != region;
        local |= !cross && seat.limit > 0;
        if seat.free() == 0 || flight.tried.contains(name) || !fits(seat) {
            continue;
        }
        let load = u32::from(seat.busy) * 1000 / u32::from(seat.limit.max(1));
        if best.is_none_or(|(other, least, _)| (cross, load) < (other, least)) {
            best = Some((cross, load, index));
        }
    }
    best.filter(|(cross, _, _)| !cross || spill || !local)
        .map(|(_, _, index)| index)
}

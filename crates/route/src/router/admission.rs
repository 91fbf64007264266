use {
    super::{Action, Reason, Router, TICK, flight::Phase, pool::Pool, seat::Seat},
    crate::{
        limit::{Concurrency, Forecast, Latency, Standing, Verdict, judge},
        queue::{Key, Waiting},
    },
    model::{account::Account, place::permits, request::Class},
    std::time::{Duration, Instant},
};

/// Which requests are let in.
impl Router {
    pub(super) fn changed(&mut self, now: Instant, actions: &mut Vec<Action>) {
        self.fresh_until = None;
        self.dispatch(now, actions);
    }

    /// Brings the seats up to date with membership, shares and paces.
    pub(super) fn refresh(&mut self, now: Instant) {
        if self.fresh_until.is_some_and(|until| now < until) {
            return;
        }
        for seat in self.seats.values_mut() {
            seat.usable = false;
        }
        for upstream in self.members.usable(now) {
            let share = self
                .holders
                .get(&upstream.site.region)
                .map_or(0, |holder| holder.limit(&upstream.name, now));
            let seat = self
                .seats
                .entry(upstream.name.clone())
                .or_insert_with(|| Seat {
                    service: upstream.service.clone(),
                    site: upstream.site.clone(),
                    address: upstream.address.clone(),
                    pool: 0,
                    usable: true,
                    limit: 0,
                    share: 0,
                    busy: 0,
                    batch: 0,
                    concurrency: Concurrency::new(upstream.slots),
                });
            if seat.address != upstream.address || seat.service != upstream.service {
                seat.address = upstream.address.clone();
                seat.service = upstream.service.clone();
                seat.concurrency = Concurrency::new(upstream.slots);
            }
            seat.site = upstream.site.clone();
            seat.usable = true;
            seat.share = share;
            seat.limit = seat.concurrency.limit(share, now);
        }
        for (name, seat) in &mut self.seats {
            if !seat.usable {
                // The share still counts as held, for the report; it gets no new work.
                seat.share = self
                    .holders
                    .get(&seat.site.region)
                    .map_or(0, |holder| holder.limit(name, now));
                seat.limit = 0;
            }
        }
        self.seats
            .retain(|_, seat| seat.usable || seat.busy > 0 || seat.share > 0);
        self.pool_seats(now);
        self.fresh_until = Some(now + TICK);
    }

    /// Sums the seats per service and region.
    fn pool_seats(&mut self, now: Instant) {
        for pool in &mut self.pools {
            (pool.slots, pool.batch, pool.short) = (0, 0, 0);
        }
        for seat in self.seats.values_mut() {
            let region = &seat.site.region;
            let found = self
                .pools
                .iter()
                .position(|pool| pool.service == seat.service && pool.region == *region);
            seat.pool = found.unwrap_or_else(|| {
                self.pools.push(Pool::new(&seat.service, region, now));
                self.pools.len() - 1
            });
            let pool = &mut self.pools[seat.pool];
            pool.slots += u32::from(seat.limit);
            pool.batch += u32::from(seat.batch);
            pool.short += u32::from(seat.busy - seat.batch);
        }
    }

    pub(super) fn latency(&mut self, service: &str, class: Class) -> &mut Latency {
        self.latencies
            .entry((service.to_owned(), class))
            .or_insert_with(|| {
                Latency::new(match class {
                    Class::Short => Duration::from_millis(20),
                    Class::Batch => Duration::from_secs(1),
                })
            })
    }

    /// Lets a request into its queue, or refuses it.
    pub(super) fn admit(&mut self, request: u64, now: Instant, actions: &mut Vec<Action>) {
        self.refresh(now);
        let Some(flight) = self.flights.get(&request) else {
            return;
        };
        let head = flight.head.clone();
        let budget = head.deadline.saturating_duration_since(now);
        let Some(config) = self.config.clone() else {
            return self.refuse(request, Reason::Configuration, None, actions);
        };
        let Some(account) = config.accounts.get(&head.account) else {
            return self.refuse(request, Reason::Account, None, actions);
        };
        let key = Key {
            account: head.account.clone(),
            class: head.class,
            service: head.service.clone(),
        };
        if budget.is_zero() {
            return self.refuse(request, Reason::Deadline, None, actions);
        }
        if key.class == Class::Short {
            self.note_short(&key, account);
        }
        if self.settings.shed {
            let forecast = self.forecast(&key, head.deadline, account);
            let mut budget = budget;
            if self.settings.bound_standing && key.class == Class::Short {
                let standing = self.standing.entry(key.clone());
                let standing = standing.or_insert_with(|| Standing::new(now));
                if let Some(bound) = standing.observe(forecast.wait(), forecast.mean, now) {
                    budget = budget.min(bound + forecast.own);
                }
            }
            if let Verdict::Refuse(after) = judge(forecast, budget) {
                return self.refuse(request, Reason::Overload, Some(after), actions);
            }
        }
        let waiting = Waiting {
            request,
            deadline: head.deadline,
        };
        if !self.queues.push(&key, account.weight, waiting) {
            let mean = self.latency(&head.service, head.class).mean();
            let slots = f64::from(self.slots().0);
            let after = self
                .queues
                .drain_time(head.class, &head.service, slots, mean)
                .max(Duration::from_millis(50));
            return self.refuse(request, Reason::Full, Some(after), actions);
        }
        if let Some(flight) = self.flights.get_mut(&request) {
            flight.phase = Phase::Queued;
        }
        self.retries.earn();
        self.hedges.earn();
        self.dispatch(now, actions);
    }

    pub(super) fn forecast(&mut self, key: &Key, deadline: Instant, account: &Account) -> Forecast {
        let quantile = self.settings.own_quantile;
        let latency = self.latency(&key.service, key.class);
        let (mean, own) = (latency.mean(), latency.quantile(quantile));
        let mut limit = 0.0;
        let mut batch = 0.0;
        let mut short = 0.0;
        for seat in self.seats.values() {
            if seat.usable && seat.service == key.service && permits(account, &seat.site) {
                limit += f64::from(seat.limit);
                batch += f64::from(seat.batch);
                short += f64::from(seat.busy - seat.batch);
            }
        }
        let reserve = 1.0 / f64::from(self.settings.queues.short_reserve);
        let slots = match key.class {
            Class::Short => (limit - batch).max(limit * reserve),
            Class::Batch => {
                (limit * (1.0 - reserve) - short).max(limit * self.settings.queues.batch_share)
            }
        };
        Forecast {
            ahead: self.queues.ahead(key, deadline),
            slots,
            mean,
            own,
        }
    }
}

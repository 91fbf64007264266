use {
    super::{
        Action, Reason, Router, TICK_INTERVAL, pending::Phase, pool::Pool, upstream::Upstream,
    },
    crate::{
        limit::{Concurrency, Decision, Forecast, Latency, StandingQueue, decide},
        queue::{Key, Waiting},
    },
    model::{account::Account, place::permits, request::Class},
    std::time::{Duration, Instant},
};

/// Admission of requests.
impl Router {
    /// Dispatches after a change of the membership or the shares.
    pub(super) fn refresh_and_dispatch(&mut self, now: Instant, actions: &mut Vec<Action>) {
        self.fresh_until = None;
        self.dispatch(now, actions);
    }

    /// Updates the upstreams from membership, shares and concurrency limits, at most once per [`TICK_INTERVAL`] unless
    /// membership or shares changed.
    pub(super) fn refresh(&mut self, now: Instant) {
        if self.fresh_until.is_some_and(|until| now < until) {
            return;
        }
        for upstream in self.upstreams.values_mut() {
            upstream.usable = false;
        }
        for announced in self.members.usable(now) {
            let share = self
                .holders
                .get(&announced.site.region)
                .map_or(0, |holder| holder.limit(&announced.name, now));
            let upstream = self
                .upstreams
                .entry(announced.name.clone())
                .or_insert_with(|| Upstream {
                    service: announced.service.clone(),
                    site: announced.site.clone(),
                    address: announced.address.clone(),
                    pool: 0,
                    usable: true,
                    limit: 0,
                    share: 0,
                    busy: 0,
                    batch: 0,
                    concurrency: Concurrency::new(announced.slots),
                });
            if upstream.address != announced.address || upstream.service != announced.service {
                upstream.address = announced.address.clone();
                upstream.service = announced.service.clone();
                upstream.concurrency = Concurrency::new(announced.slots);
            }
            upstream.site = announced.site.clone();
            upstream.usable = true;
            upstream.share = share;
            upstream.limit = upstream.concurrency.limit(share, now);
        }
        for (name, upstream) in &mut self.upstreams {
            if !upstream.usable {
                // It gets no new requests, but reports must still count its share as held.
                upstream.share = self
                    .holders
                    .get(&upstream.site.region)
                    .map_or(0, |holder| holder.limit(name, now));
                upstream.limit = 0;
            }
        }
        self.upstreams
            .retain(|_, upstream| upstream.usable || upstream.busy > 0 || upstream.share > 0);
        self.update_pools(now);
        self.fresh_until = Some(now + TICK_INTERVAL);
    }

    /// Sums slots and requests of the upstreams per service and region.
    fn update_pools(&mut self, now: Instant) {
        for pool in &mut self.pools {
            (pool.slots, pool.batch, pool.short) = (0, 0, 0);
        }
        for upstream in self.upstreams.values_mut() {
            let region = &upstream.site.region;
            let found = self
                .pools
                .iter()
                .position(|pool| pool.service == upstream.service && pool.region == *region);
            upstream.pool = found.unwrap_or_else(|| {
                self.pools.push(Pool::new(&upstream.service, region, now));
                self.pools.len() - 1
            });
            let pool = &mut self.pools[upstream.pool];
            pool.slots += u32::from(upstream.limit);
            pool.batch += u32::from(upstream.batch);
            pool.short += u32::from(upstream.busy - upstream.batch);
        }
    }

    /// The service times of a service and class, with an initial estimate before the first sample.
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

    /// Queues a request, or refuses it.
    pub(super) fn admit(&mut self, request: u64, now: Instant, actions: &mut Vec<Action>) {
        self.refresh(now);
        let Some(pending) = self.pending.get(&request) else {
            return;
        };
        let head = pending.head.clone();
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
            self.record_short_arrival(&key, account);
        }
        if self.settings.shed_load {
            let forecast = self.forecast(&key, head.deadline, account);
            let mut budget = budget;
            if self.settings.bound_standing_queue && key.class == Class::Short {
                let standing = self.standing_queues.entry(key.clone());
                let standing = standing.or_insert_with(|| StandingQueue::new(now));
                if let Some(bound) = standing.observe(forecast.wait(), forecast.mean, now) {
                    budget = budget.min(bound + forecast.own_service);
                }
            }
            if let Decision::Refuse(after) = decide(forecast, budget) {
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
        if let Some(pending) = self.pending.get_mut(&request) {
            pending.phase = Phase::Queued;
        }
        self.retry_budget.earn();
        self.hedge_budget.earn();
        self.dispatch(now, actions);
    }

    /// Predicts the wait of a request. Slots of a class are those that the other class does not use, but at
    /// least the fraction that is guaranteed to it.
    pub(super) fn forecast(&mut self, key: &Key, deadline: Instant, account: &Account) -> Forecast {
        let quantile = self.settings.admission_quantile;
        let latency = self.latency(&key.service, key.class);
        let (mean, own) = (latency.mean(), latency.quantile(quantile));
        let mut limit = 0.0;
        let mut batch = 0.0;
        let mut short = 0.0;
        for upstream in self.upstreams.values() {
            if upstream.usable
                && upstream.service == key.service
                && permits(account, &upstream.site)
            {
                limit += f64::from(upstream.limit);
                batch += f64::from(upstream.batch);
                short += f64::from(upstream.busy - upstream.batch);
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
            own_service: own,
        }
    }
}

use {
    super::{Action, Reason, Router, dispatch::find, flight::Phase},
    crate::{queue::Key, retry::may_hedge},
    model::request::Class,
    std::time::{Duration, Instant},
};

/// What happens as time passes.
impl Router {
    pub(super) fn tick(&mut self, now: Instant, actions: &mut Vec<Action>) {
        self.fresh_until = None;
        self.refresh(now);
        self.pools.iter_mut().for_each(|pool| pool.learn(now));
        while let Some((deadline, request)) = self.deadlines.first().copied() {
            if deadline > now {
                break;
            }
            let answering = self
                .flights
                .get(&request)
                .is_some_and(|flight| flight.answering.is_some());
            self.blame(request, now);
            if answering {
                self.forget(request, actions);
            } else {
                self.refuse(request, Reason::Deadline, None, actions);
            }
        }
        self.drop_hopeless(now, actions);
        self.hedge(now, actions);
        self.dispatch(now, actions);
    }

    /// Counts a missed deadline of a short request against the upstreams that did not answer it. Three in
    /// a row without any answer pause the upstream.
    pub(super) fn blame(&mut self, request: u64, now: Instant) {
        let Some(flight) = self.flights.get(&request) else {
            return;
        };
        if flight.head.class != Class::Short || flight.answering.is_some() {
            return;
        }
        for attempt in &flight.attempts {
            if let Some(seat) = self
                .attempts
                .get(attempt)
                .and_then(|attempt| self.seats.get_mut(&attempt.upstream))
            {
                seat.concurrency.failed(now);
            }
        }
    }

    /// Refuses waiting requests that cannot be answered in time any more.
    pub(super) fn drop_hopeless(&mut self, now: Instant, actions: &mut Vec<Action>) {
        if !self.settings.shed || self.queues.is_empty() {
            return;
        }
        let quantile = self.settings.late_quantile;
        let latencies = &self.latencies;
        let late = self.queues.take_overdue(|key| {
            let own = latencies
                .get(&(key.service.clone(), key.class))
                .map_or(Duration::ZERO, |latency| latency.quantile(quantile));
            now + own
        });
        for (_, waiting) in late {
            self.refuse(waiting.request, Reason::Deadline, None, actions);
        }
    }

    /// Sends idempotent stragglers to a second upstream while nothing waits.
    pub(super) fn hedge(&mut self, now: Instant, actions: &mut Vec<Action>) {
        if !self.queues.is_empty() || self.settings.hedges <= 0.0 {
            return;
        }
        let Some(config) = self.config.clone() else {
            return;
        };
        let mut stragglers: Vec<u64> = self
            .flights
            .values()
            .filter(|flight| {
                flight.phase == Phase::Running
                    && !flight.hedged
                    && flight.answering.is_none()
                    && flight.head.class == Class::Short
                    && flight.head.idempotent
                    && flight.head.replayable
            })
            .map(|flight| flight.head.request)
            .collect();
        stragglers.sort_unstable();
        for request in stragglers {
            let Some(flight) = self.flights.get(&request) else {
                continue;
            };
            let Some(first) = flight.attempts.first().and_then(|id| self.attempts.get(id)) else {
                continue;
            };
            let elapsed = now.duration_since(first.started);
            let key = Key {
                account: flight.head.account.clone(),
                class: flight.head.class,
                service: flight.head.service.clone(),
            };
            let usual = self
                .latencies
                .get(&(key.service.clone(), key.class))
                .filter(|latency| latency.count() >= 20.0)
                .map(|latency| latency.quantile(self.settings.hedge_quantile));
            let deadline = flight.head.deadline;
            let Some(usual) = usual else { continue };
            if !may_hedge(flight.head.idempotent, elapsed, usual, deadline, now) {
                continue;
            }
            let Some(account) = config.accounts.get(&key.account) else {
                continue;
            };
            let region = &self.settings.site.region;
            let current = first.upstream.clone();
            let place = find(
                &self.seats,
                &key,
                account,
                flight,
                region,
                self.turn,
                now,
                |_| true,
            )
            .filter(|place| {
                self.seats
                    .get_index(*place)
                    .is_some_and(|(name, _)| *name != current)
            });
            if let Some(place) = place
                && self.hedges.spend()
            {
                self.send(request, place, true, now, actions);
            }
        }
    }
}

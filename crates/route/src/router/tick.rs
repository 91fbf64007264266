use {
    super::{Action, Reason, Router, dispatch::find_upstream, pending::Phase},
    crate::{queue::Key, retry::may_hedge},
    model::request::Class,
    std::time::{Duration, Instant},
};

/// Number of service times, the initial estimate included, that are known of a service and class before its requests
/// are hedged.
const MIN_HEDGE_SAMPLES: f64 = 20.0;

/// Work that is due on a tick: deadlines, hedges and dispatch.
impl Router {
    pub(super) fn tick(&mut self, now: Instant, actions: &mut Vec<Action>) {
        self.fresh_until = None;
        self.refresh(now);
        self.pools
            .iter_mut()
            .for_each(|pool| pool.update_needed(now));
        while let Some((deadline, request)) = self.deadlines.first().copied() {
            if deadline > now {
                break;
            }
            let answering = self
                .pending
                .get(&request)
                .is_some_and(|pending| pending.answering.is_some());
            self.record_missed_deadline(request, now);
            if answering {
                self.remove(request, actions);
            } else {
                self.refuse(request, Reason::Deadline, None, actions);
            }
        }
        self.release_unresolved(now);
        self.refuse_late(now, actions);
        self.hedge(now, actions);
        self.dispatch(now, actions);
    }

    /// Records a missed deadline of a short request as a failure of the upstreams that have not begun to answer
    /// it. Three failures in a row without an answer pause an upstream.
    pub(super) fn record_missed_deadline(&mut self, request: u64, now: Instant) {
        let Some(pending) = self.pending.get(&request) else {
            return;
        };
        if pending.head.class != Class::Short || pending.answering.is_some() {
            return;
        }
        for attempt in &pending.attempts {
            if let Some(upstream) = self
                .attempts
                .get(attempt)
                .and_then(|attempt| self.upstreams.get_mut(&attempt.upstream))
            {
                upstream.concurrency.failed(now);
            }
        }
    }

    /// Refuses waiting requests that can no longer be answered before their deadline.
    pub(super) fn refuse_late(&mut self, now: Instant, actions: &mut Vec<Action>) {
        if !self.settings.shed_load || self.queues.is_empty() {
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

    /// Hedges slow idempotent requests, that is, sends them to a second upstream as well, while no request
    /// waits.
    pub(super) fn hedge(&mut self, now: Instant, actions: &mut Vec<Action>) {
        if !self.queues.is_empty() || self.settings.hedge_fraction <= 0.0 {
            return;
        }
        let Some(config) = self.config.clone() else {
            return;
        };
        let mut stragglers: Vec<u64> = self
            .pending
            .values()
            .filter(|pending| {
                pending.phase == Phase::Running
                    && !pending.hedged
                    && pending.answering.is_none()
                    && pending.head.class == Class::Short
                    && pending.head.idempotent
                    && pending.head.replayable
            })
            .map(|pending| pending.head.request)
            .collect();
        stragglers.sort_unstable();
        for request in stragglers {
            let Some(pending) = self.pending.get(&request) else {
                continue;
            };
            let Some(first) = pending
                .attempts
                .first()
                .and_then(|id| self.attempts.get(id))
            else {
                continue;
            };
            let elapsed = now.duration_since(first.started);
            let key = Key {
                account: pending.head.account.clone(),
                class: pending.head.class,
                service: pending.head.service.clone(),
            };
            let usual = self
                .latencies
                .get(&(key.service.clone(), key.class))
                .filter(|latency| latency.count() >= MIN_HEDGE_SAMPLES)
                .map(|latency| latency.quantile(self.settings.hedge_quantile));
            let deadline = pending.head.deadline;
            let Some(usual) = usual else { continue };
            if !may_hedge(pending.head.idempotent, elapsed, usual, deadline, now) {
                continue;
            }
            let Some(account) = config.accounts.get(&key.account) else {
                continue;
            };
            let region = &self.settings.site.region;
            let current = first.upstream.clone();
            let index = find_upstream(
                &self.upstreams,
                &key,
                account,
                pending,
                region,
                self.rotation,
                now,
                |_| true,
            )
            .filter(|index| {
                self.upstreams
                    .get_index(*index)
                    .is_some_and(|(name, _)| *name != current)
            });
            if let Some(index) = index
                && self.hedge_budget.spend()
            {
                self.send(request, index, true, now, actions);
            }
        }
    }
}

use {
    super::{
        Action, Outcome, Reason, Refusal, Router,
        flight::{Attempt, Flight, Phase},
    },
    crate::{
        queue::{Key, Waiting},
        retry::{Progress, may_resend},
    },
    model::{
        place::permits,
        request::{Class, Ran},
    },
    std::time::{Duration, Instant},
};

/// How attempts and requests end.
impl Router {
    pub(super) fn flight_of(&mut self, attempt: u64) -> Option<&mut Flight> {
        let request = self.attempts.get(&attempt)?.request;
        self.flights.get_mut(&request)
    }

    pub(super) fn answering(&mut self, attempt: u64, actions: &mut Vec<Action>) {
        let Some(flight) = self.flight_of(attempt) else {
            return;
        };
        flight.answering = Some(attempt);
        let request = flight.head.request;
        let others: Vec<u64> = flight
            .attempts
            .iter()
            .copied()
            .filter(|id| *id != attempt)
            .collect();
        self.cancel(request, &others, actions);
    }

    pub(super) fn cancel(&mut self, request: u64, attempts: &[u64], actions: &mut Vec<Action>) {
        for attempt in attempts {
            if let Some(entry) = self.attempts.get_mut(attempt)
                && !entry.cancelled
            {
                entry.cancelled = true;
                actions.push(Action::Cancel {
                    request,
                    attempt: *attempt,
                });
            }
        }
    }

    pub(super) fn finished(
        &mut self,
        attempt: u64,
        outcome: Outcome,
        now: Instant,
        actions: &mut Vec<Action>,
    ) {
        let Some(ended) = self.attempts.remove(&attempt) else {
            return;
        };
        let elapsed = now.duration_since(ended.started);
        self.vacate(&ended, elapsed, outcome, now);
        let request = ended.request;
        if let Some(flight) = self.flights.get_mut(&request) {
            flight.attempts.retain(|id| *id != attempt);
            match outcome {
                Outcome::Answered => self.forget(request, actions),
                Outcome::Failed(progress) => self.failed(&ended, progress, now, actions),
                Outcome::Stopped if flight.attempts.is_empty() => self.forget(request, actions),
                Outcome::Stopped => {}
            }
        }
        self.dispatch(now, actions);
    }

    /// Frees the slot of an ended attempt and learns from it.
    pub(super) fn vacate(
        &mut self,
        ended: &Attempt,
        elapsed: Duration,
        outcome: Outcome,
        now: Instant,
    ) {
        let key = (ended.service.clone(), ended.class);
        if outcome == Outcome::Answered {
            self.latency(&ended.service, ended.class).add(elapsed);
            let sample = elapsed.as_secs_f64().max(1e-6).ln();
            let mean = self.log_means.entry(key.clone()).or_insert(sample);
            *mean += 0.01 * (sample - *mean);
        }
        let usual = self.log_means.get(&key).copied().unwrap_or(0.0);
        if let Some(seat) = self.seats.get_mut(&ended.upstream) {
            seat.busy -= 1;
            let pool = self.pools.get_mut(seat.pool);
            if ended.class == Class::Batch {
                seat.batch -= 1;
                pool.into_iter().for_each(|pool| pool.batch -= 1);
            } else {
                pool.into_iter().for_each(|pool| pool.short -= 1);
            }
            match outcome {
                // Batch times vary too much between requests to judge an upstream by them.
                Outcome::Answered if ended.class == Class::Short => {
                    seat.concurrency.answered(elapsed, usual, seat.share.max(1));
                }
                Outcome::Failed(_) if !ended.cancelled => seat.concurrency.failed(now),
                _ => {}
            }
            seat.limit = seat.concurrency.limit(seat.share, now);
        }
        let difference = elapsed.as_secs_f64() - ended.charged;
        self.queues.charge(&ended.account, ended.class, difference);
    }

    pub(super) fn failed(
        &mut self,
        ended: &Attempt,
        progress: Progress,
        now: Instant,
        actions: &mut Vec<Action>,
    ) {
        let request = ended.request;
        let Some(flight) = self.flights.get_mut(&request) else {
            return;
        };
        flight.sent |= progress >= Progress::Sent;
        if progress == Progress::Answering {
            // The caller's connection is broken by whoever passed the answer on.
            return self.forget(request, actions);
        }
        if !flight.attempts.is_empty() {
            return;
        }
        let furthest = if flight.sent {
            progress.max(Progress::Sent)
        } else {
            progress
        };
        let head = &flight.head;
        let resend = may_resend(
            furthest,
            head.idempotent && head.replayable,
            head.deadline,
            now,
        );
        flight.tried.push(ended.upstream.clone());
        let other = resend
            && self.config.as_ref().is_some_and(|config| {
                config.accounts.get(&head.account).is_some_and(|account| {
                    self.seats.iter().any(|(name, seat)| {
                        seat.usable
                            && seat.service == head.service
                            && permits(account, &seat.site)
                            && !flight.tried.contains(name)
                    })
                })
            });
        if other && self.retries.spend() {
            flight.phase = Phase::Queued;
            flight.hedged = false;
            let key = Key {
                account: head.account.clone(),
                class: head.class,
                service: head.service.clone(),
            };
            let waiting = Waiting {
                request,
                deadline: head.deadline,
            };
            let weight = self
                .config
                .as_ref()
                .and_then(|config| config.accounts.get(&key.account))
                .map_or(1, |account| account.weight);
            if self.queues.push(&key, weight, waiting) {
                return;
            }
        }
        self.refuse(request, Reason::Upstream, None, actions);
    }

    pub(super) fn refuse(
        &mut self,
        request: u64,
        reason: Reason,
        retry_after: Option<Duration>,
        actions: &mut Vec<Action>,
    ) {
        let sent = self.flights.get(&request).is_some_and(|flight| flight.sent);
        let ran = if sent { Ran::Unknown } else { Ran::No };
        self.forget(request, actions);
        let refusal = Refusal {
            reason,
            ran,
            retry_after,
        };
        actions.push(Action::Refuse { request, refusal });
    }

    pub(super) fn forget(&mut self, request: u64, actions: &mut Vec<Action>) {
        let Some(flight) = self.flights.remove(&request) else {
            return;
        };
        let head = &flight.head;
        self.deadlines.remove(&(head.deadline, request));
        if flight.phase == Phase::Queued {
            let key = Key {
                account: head.account.clone(),
                class: head.class,
                service: head.service.clone(),
            };
            let waiting = Waiting {
                request,
                deadline: head.deadline,
            };
            self.queues.remove(&key, waiting);
        }
        self.cancel(request, &flight.attempts, actions);
    }
}

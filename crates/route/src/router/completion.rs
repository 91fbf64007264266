use {
    super::{
        Action, Outcome, Reason, Refusal, Router,
        pending::{Attempt, Pending, Phase},
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

/// Weight of one sample in the running mean of a service's logarithmic service times.
const LOG_MEAN_WEIGHT: f64 = 0.01;

/// Completion of attempts and requests.
impl Router {
    pub(super) fn pending_by_attempt(&mut self, attempt: u64) -> Option<&mut Pending> {
        let request = self.attempts.get(&attempt)?.request;
        self.pending.get_mut(&request)
    }

    /// Cancels the other attempts of a request whose answer begins.
    pub(super) fn answering(&mut self, attempt: u64, actions: &mut Vec<Action>) {
        let Some(pending) = self.pending_by_attempt(attempt) else {
            return;
        };
        pending.answering = Some(attempt);
        let request = pending.head.request;
        let others: Vec<u64> = pending
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
        if outcome == Outcome::Unresolved {
            return self.leave_unresolved(attempt, now, actions);
        }
        let Some(ended) = self.attempts.remove(&attempt) else {
            return;
        };
        let elapsed = now.duration_since(ended.started);
        self.free_slot(&ended, elapsed, outcome, now);
        let request = ended.request;
        if let Some(pending) = self.pending.get_mut(&request) {
            pending.attempts.retain(|id| *id != attempt);
            match outcome {
                Outcome::Answered => self.remove(request, actions),
                Outcome::Failed(progress) => self.failed(&ended, progress, now, actions),
                Outcome::Stopped if pending.attempts.is_empty() => self.remove(request, actions),
                Outcome::Stopped | Outcome::Unresolved => {}
            }
        }
        self.dispatch(now, actions);
    }

    /// Frees the slot of an ended attempt, and updates the service times, the concurrency limit and the charge.
    pub(super) fn free_slot(
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
            *mean += LOG_MEAN_WEIGHT * (sample - *mean);
        }
        let usual_log = self.log_means.get(&key).copied().unwrap_or(0.0);
        if let Some(upstream) = self.upstreams.get_mut(&ended.upstream) {
            upstream.busy -= 1;
            let pool = self.pools.get_mut(upstream.pool);
            if ended.class == Class::Batch {
                upstream.batch -= 1;
                pool.into_iter().for_each(|pool| pool.batch -= 1);
            } else {
                pool.into_iter().for_each(|pool| pool.short -= 1);
            }
            match outcome {
                // Service times of batch requests vary too much to show whether an upstream is slow.
                Outcome::Answered if ended.class == Class::Short => {
                    upstream
                        .concurrency
                        .answered(elapsed, usual_log, upstream.share.max(1));
                }
                Outcome::Failed(_) if !ended.cancelled => upstream.concurrency.failed(now),
                _ => {}
            }
            upstream.limit = upstream.concurrency.limit(upstream.share, now);
        }
        let difference = elapsed.as_secs_f64() - ended.charged;
        self.queues.charge(&ended.account, ended.class, difference);
    }

    /// Queues the request of a failed attempt again if it may be sent to another upstream, else refuses it.
    /// Does nothing while another attempt of it runs.
    pub(super) fn failed(
        &mut self,
        ended: &Attempt,
        progress: Progress,
        now: Instant,
        actions: &mut Vec<Action>,
    ) {
        let request = ended.request;
        let Some(pending) = self.pending.get_mut(&request) else {
            return;
        };
        pending.sent |= progress >= Progress::Sent;
        pending.lost += u32::from(progress >= Progress::Sent);
        if progress == Progress::Answering {
            // The code that relays the answer aborts the connection to the client.
            return self.remove(request, actions);
        }
        if !pending.attempts.is_empty() {
            return;
        }
        let furthest = if pending.sent {
            progress.max(Progress::Sent)
        } else {
            progress
        };
        let head = &pending.head;
        let resend = may_resend(
            furthest,
            head.idempotent && head.replayable,
            pending.lost,
            head.deadline,
            now,
        );
        pending.tried.push(ended.upstream.clone());
        let other = resend
            && self.config.as_ref().is_some_and(|config| {
                config.accounts.get(&head.account).is_some_and(|account| {
                    self.upstreams.iter().any(|(name, upstream)| {
                        upstream.usable
                            && upstream.service == head.service
                            && permits(account, &upstream.site)
                            && !pending.tried.contains(name)
                    })
                })
            });
        if other && self.retry_budget.spend() {
            pending.phase = Phase::Queued;
            pending.hedged = false;
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
        let sent = self
            .pending
            .get(&request)
            .is_some_and(|pending| pending.sent);
        let ran = if sent { Ran::Unknown } else { Ran::No };
        self.remove(request, actions);
        let refusal = Refusal {
            reason,
            ran,
            retry_after,
        };
        actions.push(Action::Refuse { request, refusal });
    }

    /// Removes a request and cancels its attempts.
    pub(super) fn remove(&mut self, request: u64, actions: &mut Vec<Action>) {
        let Some(pending) = self.pending.remove(&request) else {
            return;
        };
        let head = &pending.head;
        self.deadlines.remove(&(head.deadline, request));
        if pending.phase == Phase::Queued {
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
        self.cancel(request, &pending.attempts, actions);
    }
}

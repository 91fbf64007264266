use {
    super::{Effect, Engine, Failure},
    crate::{order::Unit, place::Host},
    std::time::{Duration, Instant},
    work::{collections::IndexMap, id, registry::Registry},
};

/// Maximum number of upstreams in one query. The latency objective of a job includes the time of one query about 30
/// upstreams for each step.
const MAX_QUERIED: usize = 30;

/// Delay between a failed query and the next one.
const RETRY_DELAY: Duration = Duration::from_millis(300);

/// Time before the expiry of a ticket from which it is not used any more, so that the start arrives in time.
const TICKET_MARGIN: Duration = Duration::from_millis(300);

/// Time after which a query without an answer counts as lost.
const QUERY_TIMEOUT: Duration = Duration::from_secs(6);

/// Decision of the policy service about one upstream.
#[derive(Clone, Debug)]
enum Verdict {
    /// The upstream may not run the step.
    Forbidden,
    /// The upstream may run the step, with a ticket that is valid until the given time.
    Allowed(String, Instant),
}

/// The query that has no answer yet.
#[derive(Clone, Debug)]
struct Query {
    call: u64,
    step: id::Task,
    upstreams: Vec<id::Upstream>,
    ticket_validity: Duration,
    sent: Instant,
}

/// Decisions of the policy service, by step.
#[derive(Clone, Debug, Default)]
pub(super) struct Advice {
    verdicts: IndexMap<id::Task, IndexMap<id::Upstream, Verdict>>,
    query: Option<Query>,
    next_query: Option<Instant>,
}

impl Advice {
    /// The ticket for starting a task on an upstream; none if there is no valid one.
    pub fn ticket(&self, task: &id::Task, upstream: &id::Upstream, now: Instant) -> Option<String> {
        let step = id::Task { index: 0, ..*task };
        match self.verdicts.get(&step)?.get(upstream)? {
            Verdict::Allowed(ticket, until) if now < *until => Some(ticket.clone()),
            _ => None,
        }
    }

    /// Discards a ticket that an upstream did not accept.
    pub fn discard_ticket(&mut self, task: &id::Task, upstream: &id::Upstream) {
        let step = id::Task { index: 0, ..*task };
        if let Some(verdicts) = self.verdicts.get_mut(&step) {
            verdicts.shift_remove(upstream);
        }
    }

    fn is_known(&self, step: &id::Task, upstream: &id::Upstream, now: Instant) -> bool {
        let verdict = self
            .verdicts
            .get(step)
            .and_then(|known| known.get(upstream));
        match verdict {
            Some(Verdict::Forbidden) => true,
            Some(Verdict::Allowed(_, until)) => now < *until,
            None => false,
        }
    }
}

/// Queries to the policy service.
impl Engine {
    /// Tells for each host whether it may run the unit, as far as known. Queries the policy service if the hosts that
    /// may run it could not hold its tasks twice, even with all their capacity.
    pub(super) fn allowed(
        &mut self,
        registry: &Registry,
        unit: &Unit<'_>,
        hosts: &[Host<'_>],
    ) -> Vec<bool> {
        if !unit.needs_advice {
            return vec![true; hosts.len()];
        }
        let now = self.now;
        let allowed: Vec<bool> = hosts
            .iter()
            .map(|host| {
                self.advice
                    .ticket(&unit.first_task, &host.upstream.id, now)
                    .is_some()
            })
            .collect();
        let slots: usize = hosts
            .iter()
            .zip(&allowed)
            .filter(|(host, allowed)| **allowed && host.accepts(unit))
            .map(|(host, _)| host.upstream.capacity.multiples_of(&unit.resources))
            .sum();
        if slots < 2 * unit.tasks.len() {
            self.query_policy(registry, unit, hosts);
        }
        allowed
    }

    fn query_policy(&mut self, registry: &Registry, unit: &Unit<'_>, hosts: &[Host<'_>]) {
        let now = self.now;
        if self
            .advice
            .query
            .take_if(|query| now >= query.sent + QUERY_TIMEOUT)
            .is_some()
        {
            log::warn!("event=advice_lost step={}", unit.first_task);
        }
        if self.advice.query.is_some() || self.advice.next_query.is_some_and(|at| now < at) {
            return;
        }
        let mut unknown: Vec<&Host<'_>> = hosts
            .iter()
            .filter(|host| {
                host.accepts(unit)
                    && !self
                        .advice
                        .is_known(&unit.first_task, &host.upstream.id, now)
            })
            .collect();
        let near = |host: &Host<'_>| unit.step.data_rack.as_ref() == Some(&host.upstream.rack);
        unknown.sort_by_key(|host| (!near(host), -host.free_soon.accelerators));
        let upstreams: Vec<id::Upstream> = unknown
            .iter()
            .take(MAX_QUERIED)
            .map(|host| host.upstream.id.clone())
            .collect();
        if upstreams.is_empty() {
            return;
        }
        let queue = registry
            .job(unit.first_task.job)
            .and_then(|job| registry.queue(&job.queue));
        let valid_ms = queue
            .and_then(|queue| queue.advice)
            .map_or(0, |advice| advice.valid_ms);
        let call = self.next_number();
        self.advice.query = Some(Query {
            call,
            step: unit.first_task,
            upstreams: upstreams.clone(),
            ticket_validity: Duration::from_millis(valid_ms),
            sent: now,
        });
        self.effects.push(Effect::Advise {
            call,
            step: unit.first_task,
            upstreams,
        });
    }

    /// Handles the answer to a query.
    pub(super) fn on_advice_answer(
        &mut self,
        call: u64,
        answer: Result<Vec<(id::Upstream, String)>, Failure>,
    ) {
        let now = self.now;
        let Some(query) = self.advice.query.take_if(|query| query.call == call) else {
            return;
        };
        self.request_plan();
        match answer {
            Ok(rows) => {
                log::info!(
                    "event=advice step={} asked={} allowed={} took_ms={}",
                    query.step,
                    query.upstreams.len(),
                    rows.len(),
                    now.saturating_duration_since(query.sent).as_millis()
                );
                let until = now + query.ticket_validity.saturating_sub(TICKET_MARGIN);
                let known = self.advice.verdicts.entry(query.step).or_default();
                for upstream in query.upstreams {
                    known.insert(upstream, Verdict::Forbidden);
                }
                for (upstream, ticket) in rows {
                    known.insert(upstream, Verdict::Allowed(ticket, until));
                }
            }
            Err(failure) => {
                log::warn!(
                    "event=advice_failed step={} error=\"{failure}\"",
                    query.step
                );
                self.advice.next_query = Some(now + RETRY_DELAY);
            }
        }
    }

    /// Discards the decisions for jobs that have ended.
    pub(super) fn prune_advice(&mut self, registry: &Registry) {
        self.advice.verdicts.retain(|step, _| {
            let job = registry.job(step.job);
            job.is_some_and(|job| job.ended_ms.is_none())
        });
    }
}

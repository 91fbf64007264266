use {
    super::{
        Action, Event, Head, Reason, Refusal, Settings, TICK_INTERVAL,
        pending::{Attempt, Pending, Phase},
        pool::Pool,
        upstream::Upstream,
    },
    crate::{
        limit::{Latency, StandingQueue},
        member::Members,
        queue::{Key, Queues},
        retry::Budget,
        share::Holder,
    },
    indexmap::IndexMap,
    model::{
        config::Config,
        place::permits,
        request::{Class, Ran},
    },
    std::{
        collections::{BTreeSet, HashMap},
        sync::Arc,
        time::{Duration, Instant},
    },
};

/// Routes the requests of one instance.
#[derive(Clone, Debug)]
pub struct Router {
    pub(super) settings: Settings,
    pub(super) members: Members,
    /// By region.
    pub(super) holders: IndexMap<String, Holder>,
    pub(super) queues: Queues,
    /// By name.
    pub(super) upstreams: IndexMap<String, Upstream>,
    /// Per account and service: slot time in seconds of the requests offered since the last update, and the
    /// smoothed demand in slots.
    pub(super) demand: IndexMap<(String, String), (f64, f64)>,
    pub(super) demand_updated: Option<Instant>,
    pub(super) draining: bool,
    /// Whether no request follows the pending ones.
    pub(super) closed: bool,
    pub(super) config: Option<Arc<Config>>,
    /// By request id.
    pub(super) pending: HashMap<u64, Pending>,
    /// By attempt id.
    pub(super) attempts: HashMap<u64, Attempt>,
    /// Deadlines of the pending requests, earliest first.
    pub(super) deadlines: BTreeSet<(Instant, u64)>,
    /// Service times, by service and class.
    pub(super) latencies: IndexMap<(String, Class), Latency>,
    pub(super) standing_queues: IndexMap<Key, StandingQueue>,
    /// Mean natural logarithm of the service time in seconds, by service and class; each upstream is compared
    /// with it.
    pub(super) log_means: IndexMap<(String, Class), f64>,
    pub(super) retry_budget: Budget,
    pub(super) hedge_budget: Budget,
    pub(super) next_attempt: u64,
    /// Index of the upstream at which the next search starts, modulo their number.
    pub(super) rotation: usize,
    /// Until when the upstreams need no refresh; none after a change.
    pub(super) fresh_until: Option<Instant>,
    pub(super) pools: Vec<Pool>,
}

impl Router {
    /// Returns a router without upstreams, shares or configuration.
    pub fn new(settings: Settings) -> Router {
        Router {
            members: Members::new(settings.instance, &settings.site.region),
            holders: IndexMap::new(),
            queues: Queues::new(settings.queues.clone()),
            upstreams: IndexMap::new(),
            demand: IndexMap::new(),
            demand_updated: None,
            draining: false,
            closed: false,
            config: None,
            pending: HashMap::new(),
            attempts: HashMap::new(),
            deadlines: BTreeSet::new(),
            latencies: IndexMap::new(),
            standing_queues: IndexMap::new(),
            log_means: IndexMap::new(),
            retry_budget: settings.retry_budget(),
            hedge_budget: settings.hedge_budget(),
            next_attempt: 0,
            rotation: 0,
            fresh_until: None,
            pools: Vec::new(),
            settings,
        }
    }

    /// Takes a new request, which is refused, claimed or queued.
    pub fn offer(&mut self, head: Head, now: Instant) -> Vec<Action> {
        self.refresh(now);
        let mut actions = Vec::new();
        let request = head.request;
        let refuse = |reason, retry_after| {
            let refusal = Refusal {
                reason,
                ran: Ran::No,
                retry_after,
            };
            vec![Action::Refuse { request, refusal }]
        };
        let Some(config) = self.config.clone() else {
            return refuse(Reason::Configuration, Some(Duration::from_secs(1)));
        };
        let Some(account) = config.accounts.get(&head.account) else {
            return refuse(Reason::Account, None);
        };
        let placed = self.upstreams.values().any(|upstream| {
            upstream.usable && upstream.service == head.service && permits(account, &upstream.site)
        });
        if !placed {
            return refuse(Reason::Place, Some(Duration::from_secs(1)));
        }
        let work = self.latency(&head.service, head.class).mean().as_secs_f64();
        let demand_key = (head.account.clone(), head.service.clone());
        self.demand.entry(demand_key).or_default().0 += work;
        let idempotent = head.idempotent;
        self.deadlines.insert((head.deadline, request));
        self.pending.insert(
            request,
            Pending {
                head,
                phase: Phase::Claiming,
                offered: now,
                tried: Vec::new(),
                lost: 0,
                attempts: Vec::new(),
                sent: false,
                answering: None,
                hedged: false,
            },
        );
        if idempotent {
            self.admit(request, now, &mut actions);
        } else {
            actions.push(Action::Claim { request });
        }
        actions
    }

    /// Handles an event, and returns the actions to perform for it.
    pub fn observe(&mut self, event: Event, now: Instant) -> Vec<Action> {
        let mut actions = Vec::new();
        match event {
            Event::Tick => self.tick(now, &mut actions),
            Event::Configured(config) => {
                self.config = config;
                self.dispatch(now, &mut actions);
            }
            Event::Peers(peers) => self.members.set_peers(&peers),
            Event::Announced(announcement) => {
                self.members.announce(&announcement, now);
                self.refresh_and_dispatch(now, &mut actions);
            }
            Event::Departed(name) => {
                self.members.depart(&name, now);
                self.refresh_and_dispatch(now, &mut actions);
            }
            Event::Gossip(delta) => {
                self.members.receive(delta, now);
                self.refresh_and_dispatch(now, &mut actions);
            }
            Event::Granted(grant) => {
                let region = grant.region.clone();
                if self.holder(&region, now).apply(&grant, now) {
                    self.refresh_and_dispatch(now, &mut actions);
                }
            }
            Event::Claimed { request } => self.admit(request, now, &mut actions),
            Event::Sent { attempt } => {
                if let Some(pending) = self.pending_by_attempt(attempt) {
                    pending.sent = true;
                }
            }
            Event::Answering { attempt } => self.answering(attempt, &mut actions),
            Event::Finished { attempt, outcome } => {
                self.finished(attempt, outcome, now, &mut actions);
            }
            Event::Abandoned { request } => {
                self.remove(request, &mut actions);
                self.dispatch(now, &mut actions);
            }
            Event::Drain => self.draining = true,
            Event::Closed => self.closed = true,
        }
        actions
    }

    /// When [`Event::Tick`] is due at the latest; none while no request is pending and no attempt is in flight.
    pub fn next_tick(&self, now: Instant) -> Option<Instant> {
        let is_idle = self.pending.is_empty() && self.attempts.is_empty();
        (!is_idle).then_some(now + TICK_INTERVAL)
    }

    /// Number of requests that wait for a slot.
    pub fn waiting(&self) -> usize {
        self.queues.len()
    }

    /// Number of requests that were offered and neither answered nor refused.
    pub fn pending(&self) -> usize {
        self.pending.len()
    }

    /// Number of slots that the instance may use now, and of attempts in flight.
    pub fn slots(&self) -> (u32, u32) {
        self.upstreams
            .values()
            .fold((0, 0), |(limit, busy), upstream| {
                (
                    limit + u32::from(upstream.share),
                    busy + u32::from(upstream.busy),
                )
            })
    }

    /// The configuration in force; none without a valid lease on one.
    pub fn config(&self) -> Option<&Arc<Config>> {
        self.config.as_ref()
    }
}

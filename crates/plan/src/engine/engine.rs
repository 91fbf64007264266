use {
    super::{
        Effect, Effort, Event, Failure, MAX_TOKEN_OFFSET, Refusal, Settings, Target,
        addresses::Addresses, advice::Advice, avoidance::Avoidance, drain::Departures, evacuation,
        first_runs::FirstRuns, fleet_report::FleetWatch, load_report::LoadWatch,
        open_starts::LATE_CALL_LIMIT, proposed::Proposed, reservations::Reservation,
        session::Session, stalls::Stalls, start_handover::Inheritance, tracked_run::TrackedRun,
        unexplained_losses::UnexplainedLosses, usage::Usage,
    },
    crate::{
        headroom::Headroom,
        learn::{Estimator, Health, Speeds},
    },
    std::time::{Duration, Instant},
    work::{
        collections::{IndexMap, IndexSet},
        id,
        registry::{Placement, Registry, State, Update, Void},
        upstream::Speed,
    },
};

/// Minimum interval between two checks of all runs.
const CHECK_INTERVAL: Duration = Duration::from_millis(20);

/// Minimum interval between two planning rounds; a commit takes about as long. Longer if rounds take long.
const PLAN_INTERVAL_MIN: Duration = Duration::from_millis(20);

/// Maximum interval between two planning rounds. Waiting jobs become urgent without any event.
const PLAN_INTERVAL_MAX: Duration = Duration::from_millis(200);

/// Minimum interval between two planning rounds, as a multiple of the time that a round takes. Calls, heartbeats and
/// commits wait while a round runs.
const ROUND_INTERVAL_FACTOR: u32 = 3;

/// Interval between two removals of ended jobs.
const EXPIRE_INTERVAL: Duration = Duration::from_secs(5);

/// Maximum time for which a new leader preempts nothing, because upstreams that it has not met may have free resources.
/// A reachable upstream answers its first hold within a round trip.
const DISCOVERY_LIMIT: Duration = Duration::from_millis(500);

/// Silence after which an upstream without runs is removed.
const FORGET_SILENT_AFTER: Duration = Duration::from_secs(60);

/// Unit in which a token offset counts the time since the start of the term: less than an upstream needs to restart.
const TOKEN_OFFSET_UNIT: Duration = Duration::from_millis(100);

/// An unanswered start whose run was given up, but which the upstream may still carry out.
#[derive(Clone, Debug)]
pub(super) struct UnresolvedStart {
    pub upstream: id::Upstream,
    pub until: Instant,
}

/// A start that has no answer yet.
#[derive(Clone, Copy, Debug)]
pub(super) struct StartCall {
    pub key: RunKey,
    /// Incarnation of the upstream that it was sent to.
    pub born_ms: u64,
    /// The least time that the clock of that incarnation could show then, in milliseconds.
    pub least_clock_ms: u64,
}

/// Task and number of a run.
pub(super) type RunKey = (id::Task, u32);

/// Scheduler of one leader for one term.
#[derive(Debug)]
pub struct Engine {
    pub(super) settings: Settings,
    pub(super) sessions: IndexMap<id::Upstream, Session>,
    /// Upstreams that were removed, and when, while calls to them may still be carried out.
    pub(super) removed: IndexMap<id::Upstream, Instant>,
    pub(super) addresses: Addresses,
    pub(super) tracked_runs: IndexMap<RunKey, TrackedRun>,
    /// Upstreams of the holds that have no answer yet, by call.
    pub(super) hold_calls: IndexMap<u64, id::Upstream>,
    /// Runs of the starts that have no answer yet, by call.
    pub(super) start_calls: IndexMap<u64, StartCall>,
    /// Runs of the stops that have no answer yet, by call.
    pub(super) stop_calls: IndexMap<u64, RunKey>,
    /// Unanswered starts whose runs were given up.
    pub(super) unresolved_starts: IndexMap<RunKey, UnresolvedStart>,
    pub(super) unexplained_losses: UnexplainedLosses,
    /// Stalled runs of tasks that have not ended.
    pub(super) stalls: Stalls,
    pub(super) first_runs: FirstRuns,
    /// Placements in proposals without a known outcome, by proposal.
    pub(super) proposed_placements: IndexMap<u64, Proposed>,
    /// Runs that pending proposals void, by proposal, so that no run is voided twice.
    pub(super) proposed_voids: IndexMap<u64, Vec<RunKey>>,
    /// Upstreams whose ends are in a pending proposal, by proposal.
    pub(super) proposed_ends: IndexMap<u64, id::Upstream>,
    pub(super) advice: Advice,
    pub(super) estimator: Estimator,
    pub(super) speeds: Speeds,
    pub(super) health: IndexMap<id::Upstream, Health>,
    /// Ready steps that wait for an upstream without failures, by their first task.
    pub(super) avoiding: IndexMap<id::Task, Avoidance>,
    pub(super) effects: Vec<Effect>,
    pub(super) updates: Vec<Update>,
    /// Runs that this step has ordered to stop.
    pub(super) stops: Vec<RunKey>,
    /// Placements in `updates`.
    pub(super) placements: Vec<Placement>,
    pub(super) now: Instant,
    /// Wall-clock time agreed on by the group, in milliseconds since the Unix epoch.
    pub(super) time_ms: u64,
    term_start: Instant,
    /// Number of the latest call or proposal.
    last_number: u64,
    /// Revision of the registry with which sessions and runs were last compared; none before the first time.
    pub(super) seen_revision: Option<u64>,
    pub(super) plan_needed: bool,
    next_plan: Instant,
    next_check: Instant,
    /// Position of the run that is checked next.
    pub(super) next_checked: usize,
    next_expire: Instant,
    pub(super) next_report: Instant,
    pub(super) departures: Departures,
    /// Upstreams that have said that they leave, until they are removed.
    pub(super) leaving: IndexSet<id::Upstream>,
    pub(super) evacuation_watch: evacuation::Watch,
    pub(super) fleet_watch: FleetWatch,
    pub(super) load_watch: LoadWatch,
    /// Places for which work was preempted, by the first task of the step that they are reserved for.
    pub(super) reservations: IndexMap<id::Task, Reservation>,
    /// Usage of the upstreams with runs; those on which something has changed are missing until the next round.
    pub(super) usages: IndexMap<id::Upstream, Usage>,
    /// Version of the configuration for which `usages` hold.
    pub(super) usage_config_version: Option<u64>,
    /// Headroom for urgent work, by service.
    pub(super) headroom: IndexMap<String, Headroom>,
    /// What an earlier leader has told of its starts.
    pub(super) inheritance: Inheritance,
    /// All runs that were assigned before this time of the registry are tracked.
    pub(super) covered_ms: u64,
    /// Entries examined since [`Engine::take_effort`] was last called.
    pub(super) effort: Effort,
}

impl Engine {
    /// An engine for a leader whose term begins now.
    pub fn new(settings: Settings, now: Instant) -> Engine {
        Engine {
            settings,
            sessions: IndexMap::default(),
            removed: IndexMap::default(),
            addresses: Addresses::default(),
            tracked_runs: IndexMap::default(),
            hold_calls: IndexMap::default(),
            start_calls: IndexMap::default(),
            stop_calls: IndexMap::default(),
            unresolved_starts: IndexMap::default(),
            unexplained_losses: UnexplainedLosses::default(),
            stalls: Stalls::default(),
            first_runs: FirstRuns::default(),
            proposed_placements: IndexMap::default(),
            proposed_voids: IndexMap::default(),
            proposed_ends: IndexMap::default(),
            advice: Advice::default(),
            estimator: Estimator::default(),
            speeds: Speeds::default(),
            health: IndexMap::default(),
            avoiding: IndexMap::default(),
            effects: Vec::new(),
            updates: Vec::new(),
            stops: Vec::new(),
            placements: Vec::new(),
            now,
            time_ms: 0,
            term_start: now,
            last_number: 0,
            seen_revision: None,
            plan_needed: true,
            next_plan: now,
            next_check: now,
            next_checked: 0,
            next_expire: now + EXPIRE_INTERVAL,
            next_report: now,
            departures: Departures::default(),
            leaving: IndexSet::default(),
            evacuation_watch: evacuation::Watch::default(),
            fleet_watch: FleetWatch::default(),
            load_watch: LoadWatch::default(),
            reservations: IndexMap::default(),
            usages: IndexMap::default(),
            usage_config_version: None,
            headroom: IndexMap::default(),
            inheritance: Inheritance::default(),
            covered_ms: 0,
            effort: Effort::default(),
        }
    }

    /// Handles events and returns the effects to carry out. `time_ms` is the wall-clock time agreed on by the group, in
    /// milliseconds since the Unix epoch.
    pub fn step(
        &mut self,
        events: impl IntoIterator<Item = Event>,
        registry: &Registry,
        now: Instant,
        time_ms: u64,
    ) -> Vec<Effect> {
        self.now = self.now.max(now);
        self.time_ms = self.time_ms.max(time_ms).max(registry.time_ms);
        self.sync_with_registry(registry);
        for event in events {
            self.handle(event, registry);
        }
        self.check_if_due(registry);
        self.plan_if_due(registry);
        self.watch_evacuated(registry);
        self.send_stops(registry);
        self.send_holds(registry);
        self.expire(registry);
        self.report_first_runs();
        self.propose_updates(registry);
        self.cover_starts(registry);
        std::mem::take(&mut self.effects)
    }

    fn handle(&mut self, event: Event, registry: &Registry) {
        match event {
            Event::Tick => {}
            Event::HeartbeatReceived {
                upstream,
                born_ms,
                clock_ms,
            } => self.on_heartbeat(&upstream, born_ms, clock_ms),
            Event::UpstreamCold {
                upstream,
                born_ms,
                remaining,
            } => self.on_cold(&upstream, born_ms, remaining),
            Event::UpstreamLeaves { upstream, born_ms } => self.on_leave(&upstream, born_ms),
            Event::HoldAnswered { call, answer } => self.on_hold_answer(call, answer, registry),
            Event::StartAnswered { call, answer } => self.on_start_answer(call, answer, registry),
            Event::StopAnswered { call, answer } => self.on_stop_answer(call, answer),
            Event::AdviceAnswered { call, answer } => self.on_advice_answer(call, answer),
            Event::ProposalCommitted { proposal, runs } => {
                self.on_proposal_committed(proposal, &runs, registry)
            }
            Event::ProposalFailed { proposal } => self.finish_proposal(registry, proposal),
        }
    }

    /// Number of upstreams that can take new work.
    pub fn usable_upstreams(&self) -> usize {
        let sessions = self.sessions.values();
        sessions
            .filter(|session| session.is_usable(self.now, &self.settings))
            .count()
    }

    /// Speeds of the upstreams, as far as this leader has learned them.
    pub fn speeds(&self) -> &Speeds {
        &self.speeds
    }

    /// Begins with the speeds that an earlier leader had learned, which were current at `at`.
    pub fn inherit_speeds(&mut self, speeds: &[Speed], at: Instant) {
        self.speeds.inherit(speeds, at);
    }

    /// Tells how long the latest planning round took, so that rounds leave time for other work.
    pub fn record_round(&mut self, took: Duration) {
        let interval = PLAN_INTERVAL_MIN.max(took * ROUND_INTERVAL_FACTOR);
        self.next_plan = self.next_plan.max(self.now + interval);
    }

    /// Entries examined since the previous call.
    pub fn take_effort(&mut self) -> Effort {
        std::mem::take(&mut self.effort)
    }

    /// Number of runs that may still be running.
    pub fn live_runs(&self) -> usize {
        self.tracked_runs.len()
    }

    /// Whether each upstream has answered this leader or failed to, or the time for it is over.
    pub(super) fn has_met_upstreams(&self) -> bool {
        let mut sessions = self.sessions.values();
        self.now >= self.term_start + DISCOVERY_LIMIT
            || sessions.all(|session| session.contacted || session.failures > 0)
    }

    pub(super) fn next_number(&mut self) -> u64 {
        self.last_number += 1;
        self.last_number
    }

    pub(super) fn request_plan(&mut self) {
        self.plan_needed = true;
    }

    fn on_heartbeat(&mut self, upstream: &id::Upstream, born_ms: u64, clock_ms: Option<u64>) {
        let now = self.now;
        if let Some(session) = self.sessions.get_mut(upstream)
            && session.born_ms == born_ms
        {
            session.last_heard = now;
            session.may_need_hold = true;
            if let Some(clock_ms) = clock_ms {
                session.set_clock(clock_ms, now);
            }
        }
    }

    pub(super) fn target(&self, registry: &Registry, upstream: &id::Upstream) -> Option<Target> {
        let known = registry.upstream(upstream)?;
        let session = self.sessions.get(upstream);
        Some(Target {
            upstream: upstream.clone(),
            address: known.address.clone(),
            token_offset: session.map_or(0, |session| session.token_offset),
        })
    }

    /// A token offset above all that were used for an upstream so far.
    pub(super) fn next_token_offset(&self) -> u64 {
        let elapsed = self.now.saturating_duration_since(self.term_start);
        let units = elapsed.as_millis() / TOKEN_OFFSET_UNIT.as_millis();
        MAX_TOKEN_OFFSET.min(units as u64 + 1)
    }

    /// Proposes that a run is over although no end was reported.
    pub(super) fn void(&mut self, registry: &Registry, key: RunKey, reason: Void) {
        if self
            .proposed_voids
            .values()
            .flatten()
            .any(|known| *known == key)
            || self.updates.iter().any(|update| is_void_of(update, key))
        {
            return;
        }
        let blame = self.blame_of_void(registry, key, reason);
        let tracked = self.tracked_runs.get(&key);
        log::info!(
            "event=run_void task={} run={} upstream={} reason={reason} blame={blame} started={} percent={} born_ms={} session_born_ms={} tries={} unanswered={}",
            key.0,
            key.1,
            tracked.map_or("", |tracked| tracked.upstream.as_str()),
            tracked.is_some_and(TrackedRun::is_known_to_have_started),
            tracked.map_or(0, |tracked| tracked.percent),
            tracked.map_or(0, |tracked| tracked.born_ms),
            tracked
                .and_then(|tracked| self.sessions.get(&tracked.upstream))
                .map_or(0, |session| session.born_ms),
            tracked.map_or(0, |tracked| tracked.start_attempts),
            tracked.is_some_and(|tracked| !tracked.open_starts.is_empty())
        );
        self.updates.push(Update::Void {
            task: key.0,
            run: key.1,
            reason,
            checkpoint: tracked.map_or_else(String::new, |tracked| tracked.checkpoint.clone()),
            blame,
        });
    }

    fn check_if_due(&mut self, registry: &Registry) {
        if self.now >= self.next_check {
            self.next_check = self.now + CHECK_INTERVAL;
            self.check_runs(registry);
            self.remove_departed(registry);
        }
    }

    /// Sends the stops that this step has ordered.
    fn send_stops(&mut self, registry: &Registry) {
        for key in std::mem::take(&mut self.stops) {
            self.check_stop(registry, key);
        }
    }

    fn plan_if_due(&mut self, registry: &Registry) {
        let due = self.plan_needed || self.now >= self.next_plan + PLAN_INTERVAL_MAX;
        if due && self.now >= self.next_plan {
            self.plan_needed = false;
            self.next_plan = self.now + PLAN_INTERVAL_MIN;
            self.plan(registry);
        }
    }

    fn expire(&mut self, registry: &Registry) {
        if self.now < self.next_expire {
            return;
        }
        self.next_expire = self.now + EXPIRE_INTERVAL;
        let keep_ms = self.settings.job_retention.as_millis() as u64;
        let before_ms = self.time_ms.saturating_sub(keep_ms);
        if registry.has_job_ended_before(before_ms) {
            self.updates.push(Update::Expire { before_ms });
        }
        let is_open = |job| {
            let job = registry.job(job);
            job.is_some_and(|job| job.state == State::Open)
        };
        self.unexplained_losses.discard_ended(is_open);
        self.stalls.discard_ended(is_open);
        self.speeds.prune(is_open);
        self.prune_first_runs(registry);
        let now = self.now;
        self.removed.retain(|_, at| now < *at + LATE_CALL_LIMIT);
        for (id, session) in &self.sessions {
            let quiet = self.now.saturating_duration_since(session.last_heard);
            if quiet > FORGET_SILENT_AFTER && !self.may_have_runs(registry, id) {
                log::info!(
                    "event=upstream_forgotten upstream={id} silent_ms={}",
                    quiet.as_millis()
                );
                self.updates.push(Update::Forget {
                    upstream: id.clone(),
                    born_ms: session.born_ms,
                });
            }
        }
    }

    /// Proposes the updates of this step.
    fn propose_updates(&mut self, registry: &Registry) {
        if self.updates.is_empty() {
            return;
        }
        let proposal = self.next_number();
        let updates = std::mem::take(&mut self.updates);
        let placements = std::mem::take(&mut self.placements);
        if !placements.is_empty() {
            let since_ms = registry.time_ms;
            let proposed = Proposed {
                placements,
                since_ms,
            };
            self.proposed_placements.insert(proposal, proposed);
        }
        let voids = updates.iter().filter_map(|update| match update {
            Update::Void { task, run, .. } => Some((*task, *run)),
            _ => None,
        });
        let voids: Vec<RunKey> = voids.collect();
        if !voids.is_empty() {
            self.proposed_voids.insert(proposal, voids);
        }
        self.effects.push(Effect::Propose { proposal, updates });
    }

    /// Forgets a proposal whose outcome is known or will never be.
    pub(super) fn finish_proposal(&mut self, registry: &Registry, proposal: u64) {
        let proposed = self.proposed_placements.shift_remove(&proposal);
        self.proposed_voids.shift_remove(&proposal);
        // The proposal may have been committed although its outcome is unknown here.
        for placement in proposed.iter().flat_map(|proposed| &proposed.placements) {
            self.track_live_runs(registry, &placement.task);
        }
        if let Some(upstream) = self.proposed_ends.shift_remove(&proposal)
            && let Some(session) = self.sessions.get_mut(&upstream)
        {
            // The ends are proposed again when the upstream reports them again.
            session.may_need_hold = true;
            session.proposed_end = 0;
        }
        self.plan_needed = true;
    }

    /// Whether the upstream refused the order, so that it certainly did not carry it out.
    pub(super) fn was_refused(failure: &Failure) -> bool {
        matches!(
            failure,
            Failure::Refused(
                Refusal::Fenced
                    | Refusal::Late
                    | Refusal::Room
                    | Refusal::Ticket
                    | Refusal::Unhealthy
                    | Refusal::Malformed
                    | Refusal::OtherLife
                    | Refusal::Old
            )
        )
    }
}

fn is_void_of(update: &Update, key: RunKey) -> bool {
    matches!(update, Update::Void { task, run, .. } if (*task, *run) == key)
}

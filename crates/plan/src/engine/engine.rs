use {
    super::{
        Effect, Event, Failure, Refusal, Settings, Target,
        advice::Advice,
        drain::Departures,
        session::Session,
        track::{Phase, Track},
    },
    crate::{
        headroom::Headroom,
        learn::{Estimator, Health},
    },
    indexmap::{IndexMap, IndexSet},
    std::time::{Duration, Instant},
    work::{
        id,
        registry::{Placement, Registry, Update, Void},
    },
};

/// Least time between two looks at all runs.
const WATCH_PAUSE: Duration = Duration::from_millis(20);

/// Least time between two rounds of planning; a commit takes about as long.
const PLAN_PAUSE: Duration = Duration::from_millis(20);

/// Time between two rounds of planning without any event; waiting jobs become urgent meanwhile.
const PLAN_IDLE: Duration = Duration::from_millis(200);

/// Time between two removals of ended jobs.
const EXPIRE_PAUSE: Duration = Duration::from_secs(5);

/// Longest time for which a new leader stops no work for other work, because upstreams that it has not met may have
/// room. An upstream that can be reached answers its first hold within a round trip.
const SETTLE: Duration = Duration::from_millis(500);

/// Silence after which an upstream without runs is forgotten.
const FORGET_AFTER: Duration = Duration::from_secs(60);

/// Time for which a start without an answer may still be carried out. The platform's page says 12 s.
const LOOSE_FOR: Duration = Duration::from_secs(15);

/// A start without an answer whose run was given up.
#[derive(Clone, Debug)]
pub(super) struct Loose {
    pub upstream: id::Upstream,
    pub until: Instant,
}

/// Identifies a run.
pub(super) type RunKey = (id::Task, u32);

/// The decisions of one leader during one term.
#[derive(Debug)]
pub struct Engine {
    pub(super) settings: Settings,
    pub(super) sessions: IndexMap<id::Upstream, Session>,
    pub(super) tracks: IndexMap<RunKey, Track>,
    /// Jobs that had not ended when the book was last looked at.
    open: IndexSet<id::Job>,
    /// Starts without an answer whose runs were given up.
    pub(super) loose: IndexMap<RunKey, Loose>,
    /// Placements that were proposed and are not known to be applied, by proposal.
    pub(super) proposed: IndexMap<u64, Vec<Placement>>,
    /// Voids that were proposed, so that none is proposed twice.
    pub(super) voiding: IndexMap<u64, Vec<RunKey>>,
    /// Highest end proposed with a proposal, by upstream.
    pub(super) ending: IndexMap<u64, id::Upstream>,
    pub(super) advice: Advice,
    pub(super) estimator: Estimator,
    pub(super) health: IndexMap<id::Upstream, Health>,
    pub(super) effects: Vec<Effect>,
    pub(super) updates: Vec<Update>,
    /// Runs that are told to stop in this step.
    pub(super) stops: Vec<RunKey>,
    /// Placements among `updates`.
    pub(super) placements: Vec<Placement>,
    pub(super) now: Instant,
    /// Agreed time of day in milliseconds since the Unix epoch.
    pub(super) time_ms: u64,
    began: Instant,
    numbers: u64,
    seen_changes: Option<u64>,
    dirty: bool,
    next_plan: Instant,
    next_watch: Instant,
    next_expire: Instant,
    pub(super) next_report: Instant,
    pub(super) departures: Departures,
    /// By service.
    pub(super) headroom: IndexMap<String, Headroom>,
}

impl Engine {
    /// The engine of a leader whose term begins now.
    pub fn new(settings: Settings, now: Instant) -> Engine {
        Engine {
            settings,
            sessions: IndexMap::new(),
            tracks: IndexMap::new(),
            loose: IndexMap::new(),
            open: IndexSet::new(),
            proposed: IndexMap::new(),
            voiding: IndexMap::new(),
            ending: IndexMap::new(),
            advice: Advice::default(),
            estimator: Estimator::default(),
            health: IndexMap::new(),
            effects: Vec::new(),
            updates: Vec::new(),
            stops: Vec::new(),
            placements: Vec::new(),
            now,
            time_ms: 0,
            began: now,
            numbers: 0,
            seen_changes: None,
            dirty: true,
            next_plan: now,
            next_watch: now,
            next_expire: now + EXPIRE_PAUSE,
            next_report: now,
            departures: Departures::new(),
            headroom: IndexMap::new(),
        }
    }

    /// Handles events. `time_ms` is the agreed time of day.
    pub fn step(
        &mut self,
        events: impl IntoIterator<Item = Event>,
        book: &Registry,
        now: Instant,
        time_ms: u64,
    ) -> Vec<Effect> {
        self.now = self.now.max(now);
        self.time_ms = self.time_ms.max(time_ms).max(book.time_ms);
        self.follow_book(book);
        for event in events {
            self.take(event, book);
        }
        self.watch_if_due(book);
        self.plan_if_due(book);
        self.send_stops(book);
        self.send_holds(book);
        self.expire(book);
        self.flush();
        std::mem::take(&mut self.effects)
    }

    fn take(&mut self, event: Event, book: &Registry) {
        match event {
            Event::Tick => {}
            Event::HeartbeatReceived {
                upstream,
                born_ms,
                clock_ms,
            } => self.heard(&upstream, born_ms, clock_ms),
            Event::HoldAnswered { call, answer } => self.held(call, answer, book),
            Event::StartAnswered { call, answer } => self.started(call, answer, book),
            Event::StopAnswered { call, answer } => self.stopped(call, answer),
            Event::AdviceAnswered { call, answer } => self.advised(call, answer),
            Event::ProposalCommitted { proposal, runs } => self.committed(proposal, &runs, book),
            Event::ProposalFailed { proposal } => self.settle(proposal),
        }
    }

    /// Number of upstreams that may be given work.
    pub fn usable_upstreams(&self) -> usize {
        let sessions = self.sessions.values();
        sessions
            .filter(|session| session.is_usable(self.now, &self.settings))
            .count()
    }

    /// Number of runs that may be running.
    pub fn live_runs(&self) -> usize {
        self.tracks.len()
    }

    /// Whether each upstream has answered this leader, or has had the time to.
    pub(super) fn is_settled(&self) -> bool {
        let mut sessions = self.sessions.values();
        self.now >= self.began + SETTLE
            || sessions.all(|session| session.met || session.failures > 0)
    }

    pub(super) fn number(&mut self) -> u64 {
        self.numbers += 1;
        self.numbers
    }

    pub(super) fn replan(&mut self) {
        self.dirty = true;
    }

    /// Brings sessions and tracks in line with the book.
    fn follow_book(&mut self, book: &Registry) {
        if self.seen_changes == Some(book.revision()) {
            return;
        }
        self.note_ended_jobs(book);
        let first = self.seen_changes.is_none();
        self.seen_changes = Some(book.revision());
        self.dirty = true;
        for upstream in book.upstreams() {
            let known = self.sessions.get(&upstream.id);
            if known.is_none_or(|session| session.born_ms != upstream.born_ms) {
                let session = Session::new(upstream.born_ms, self.now, &self.settings);
                self.sessions.insert(upstream.id.clone(), session);
                self.health.shift_remove(&upstream.id);
                self.forget_stops(&upstream.id);
            }
        }
        self.sessions.retain(|id, _| book.upstream(id).is_some());
        if first {
            self.skip_departures(book);
        } else {
            self.note_departures(book);
        }
        let ended = |(task, run): &RunKey| book.run(task, *run).is_none();
        let dropped = self.tracks.extract_if(.., |key, _| ended(key));
        for (key, track) in dropped.collect::<Vec<_>>() {
            self.keep_loose(key, &track);
        }
        for (upstream, key, live) in book.allocations() {
            let is_proposed = || {
                let mut placements = self.proposed.values().flatten();
                !first && placements.any(|placement| placement.task == key.0)
            };
            if !self.tracks.contains_key(key) && !is_proposed() {
                let phase = Phase::Inherited;
                let track = Track::new(
                    upstream.clone(),
                    live.born_ms,
                    live.resources,
                    phase,
                    self.now,
                );
                self.tracks.insert(*key, track);
            } else if let Some(track) = self.tracks.get_mut(key) {
                track.born_ms = live.born_ms;
            }
        }
    }

    fn note_ended_jobs(&mut self, book: &Registry) {
        let open: IndexSet<id::Job> = book.open_jobs().map(|job| job.id).collect();
        for job in self.open.difference(&open).filter_map(|id| book.job(*id)) {
            let ended_ms = job.ended_ms.unwrap_or(self.time_ms);
            log::info!(
                "event=job_ended job={} state={} took_ms={}",
                job.id,
                job.state,
                ended_ms.saturating_sub(job.accepted_ms)
            );
        }
        self.open = open;
    }

    /// Remembers a run that is over and of which a start may still be on its way.
    fn keep_loose(&mut self, key: RunKey, track: &Track) {
        if track.unanswered {
            let loose = Loose {
                upstream: track.upstream.clone(),
                until: self.now + LOOSE_FOR,
            };
            self.loose.insert(key, loose);
        }
    }

    /// A new life of an upstream has not heard of the stops that its predecessor confirmed.
    fn forget_stops(&mut self, upstream: &id::Upstream) {
        let tracks = self.tracks.values_mut();
        for track in tracks.filter(|track| track.upstream == *upstream) {
            track.stopping = None;
        }
    }

    fn heard(&mut self, upstream: &id::Upstream, born_ms: u64, clock_ms: Option<u64>) {
        let now = self.now;
        if let Some(session) = self.sessions.get_mut(upstream)
            && session.born_ms == born_ms
        {
            session.heard = now;
            if let Some(clock_ms) = clock_ms {
                session.set_clock(clock_ms, now);
            }
        }
    }

    pub(super) fn target(&self, book: &Registry, upstream: &id::Upstream) -> Option<Target> {
        let known = book.upstream(upstream)?;
        Some(Target {
            upstream: upstream.clone(),
            address: known.address.clone(),
        })
    }

    /// Proposes that a run is over without a listed end.
    pub(super) fn void(&mut self, key: RunKey, reason: Void) {
        if self.voiding.values().flatten().any(|known| *known == key)
            || self.updates.iter().any(|update| is_void_of(update, key))
        {
            return;
        }
        let track = self.tracks.get(&key);
        log::info!(
            "event=run_void task={} run={} upstream={} reason={reason}",
            key.0,
            key.1,
            track.map_or("", |track| track.upstream.as_str())
        );
        self.updates.push(Update::Void {
            task: key.0,
            run: key.1,
            reason,
            checkpoint: track.map_or_else(String::new, |track| track.checkpoint.clone()),
        });
    }

    fn watch_if_due(&mut self, book: &Registry) {
        if self.now >= self.next_watch {
            self.next_watch = self.now + WATCH_PAUSE;
            self.watch_runs(book);
        }
    }

    /// Sends the stops that this step has ordered.
    fn send_stops(&mut self, book: &Registry) {
        for key in std::mem::take(&mut self.stops) {
            self.watch_stop(book, key);
        }
    }

    fn plan_if_due(&mut self, book: &Registry) {
        let due = self.dirty || self.now >= self.next_plan + PLAN_IDLE;
        if due && self.now >= self.next_plan {
            self.dirty = false;
            self.next_plan = self.now + PLAN_PAUSE;
            self.plan(book);
        }
    }

    fn expire(&mut self, book: &Registry) {
        if self.now < self.next_expire {
            return;
        }
        self.next_expire = self.now + EXPIRE_PAUSE;
        let keep_ms = self.settings.job_retention.as_millis() as u64;
        let before_ms = self.time_ms.saturating_sub(keep_ms);
        if book.has_job_ended_before(before_ms) {
            self.updates.push(Update::Expire { before_ms });
        }
        for (id, session) in &self.sessions {
            let quiet = self.now.saturating_duration_since(session.heard);
            if quiet > FORGET_AFTER && book.allocations_on(id).next().is_none() {
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

    /// Proposes what this step has found and decided.
    fn flush(&mut self) {
        if self.updates.is_empty() {
            return;
        }
        let proposal = self.number();
        let updates = std::mem::take(&mut self.updates);
        let placements = std::mem::take(&mut self.placements);
        if !placements.is_empty() {
            self.proposed.insert(proposal, placements);
        }
        let voids = updates.iter().filter_map(|update| match update {
            Update::Void { task, run, .. } => Some((*task, *run)),
            _ => None,
        });
        let voids: Vec<RunKey> = voids.collect();
        if !voids.is_empty() {
            self.voiding.insert(proposal, voids);
        }
        self.effects.push(Effect::Propose { proposal, updates });
    }

    /// Ends the wait for a proposal.
    pub(super) fn settle(&mut self, proposal: u64) {
        self.proposed.shift_remove(&proposal);
        self.voiding.shift_remove(&proposal);
        if let Some(upstream) = self.ending.shift_remove(&proposal)
            && let Some(session) = self.sessions.get_mut(&upstream)
        {
            // The ends are proposed again when the upstream lists them again.
            session.proposed_end = 0;
        }
        self.dirty = true;
    }

    /// Whether the order was certainly not carried out.
    pub(super) fn was_not_done(failure: &Failure) -> bool {
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

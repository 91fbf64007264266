use {
    super::{
        Engine, Running,
        engine::{RunKey, UnresolvedStart},
        session::{Session, expired_after},
        tracked_run::{Phase, StopOrder, TrackedRun},
    },
    std::time::Instant,
    work::{
        collections::IndexMap,
        id,
        registry::{Registry, State, Void},
    },
};

/// Until when an upstream may still run what it was told to run. A run without a listed end is given up only by these
/// rules.
///
/// An incarnation runs what it was told as long as the lease lasts that it was given, and nothing after a crash. The next
/// incarnation under the same id knows neither fencing token nor stops, and carries out the calls to the earlier one that
/// are under way. So a run whose starts all have an answer ends with its incarnation; one with an open start may begin
/// again until [`OpenStarts::until`](super::open_starts::OpenStarts::until), also where no later incarnation is known.
impl Engine {
    /// Voids a run on an unreachable upstream once nothing runs there any more.
    pub(super) fn check_lease(&mut self, registry: &Registry, key: RunKey) {
        let Some(tracked) = self.tracked_runs.get(&key) else {
            return;
        };
        let Some(session) = self.sessions.get(&tracked.upstream) else {
            return;
        };
        let unreachable = session.failures > 0 || !session.contacted;
        if unreachable && self.now > self.over_at(registry, key, tracked, session) {
            self.void(registry, key, Void::Lapsed);
        }
    }

    /// Time after which an upstream that cannot be reached does not run a task any more.
    fn over_at(
        &self,
        registry: &Registry,
        key: RunKey,
        tracked: &TrackedRun,
        session: &Session,
    ) -> Instant {
        let lease_end = session.lease_end();
        let late_until = self.late_until(tracked);
        match late_until.filter(|_| must_run_once(registry, &key.0)) {
            Some(until) => lease_end.max(until + expired_after(self.settings.max_lease)),
            None => lease_end,
        }
    }

    /// Time after which no call gives a lease to a run that an open start begins; none if no start of it is open.
    pub(super) fn late_until(&self, tracked: &TrackedRun) -> Option<Instant> {
        let until = tracked.open_starts.until()?;
        Some(self.latest_call(&tracked.upstream, until))
    }

    /// Time after which no call gives a lease to what a start begins that is carried out until the given time.
    fn latest_call(&self, upstream: &id::Upstream, until: Instant) -> Instant {
        // Late calls give the lease of whatever incarnation carries out the start.
        let session = self.sessions.get(upstream);
        session.map_or(until, |session| session.late_calls_until().max(until))
    }

    /// Time after which an upstream does not run what an open start of a run that is over has begun.
    fn unresolved_over_at(&self, start: &UnresolvedStart) -> Instant {
        let latest = self.latest_call(&start.upstream, start.until);
        latest + expired_after(self.settings.max_lease)
    }

    /// Forgets the open starts of runs that are over which nothing can have begun any more, or whose lease is over.
    pub(super) fn discard_unresolved_starts(&mut self) {
        let starts = self.unresolved_starts.iter();
        let past = starts.filter(|(_, start)| self.now > self.unresolved_over_at(start));
        let past: Vec<RunKey> = past.map(|(key, _)| *key).collect();
        for key in past {
            self.unresolved_starts.shift_remove(&key);
        }
    }

    /// Forgets the open starts of runs that are over on an upstream that answers later than they can be carried out, and does
    /// not list the runs. The list answers a call that was sent at the given time.
    pub(super) fn settle_unresolved_starts(
        &mut self,
        upstream: &id::Upstream,
        sent: Instant,
        running: &IndexMap<RunKey, &Running>,
    ) {
        let session = self.sessions.get_mut(upstream);
        let Some(session) = session.filter(|session| session.has_open_start()) else {
            return;
        };
        self.unresolved_starts.retain(|key, start| {
            start.upstream != *upstream || sent <= start.until || running.contains_key(key)
        });
        let mut starts = self.unresolved_starts.values();
        if starts.all(|start| start.upstream != *upstream) {
            session.clear_open_starts();
        }
    }

    /// Whether an upstream has to answer to settle an open start of a run that is over.
    pub(super) fn has_unsettled_start(&self, upstream: &id::Upstream) -> bool {
        let session = self.sessions.get(upstream);
        if !session.is_some_and(Session::has_open_start) {
            return false;
        }
        let mut starts = self.unresolved_starts.values();
        starts.any(|start| start.upstream == *upstream && self.now > start.until)
    }

    /// Whether this leader may send further starts of a run.
    pub(super) fn may_be_started(&self, tracked: &TrackedRun) -> bool {
        match tracked.phase {
            Phase::Started { .. } => false,
            Phase::Sending { .. } => true,
            Phase::Unanswered { .. } => tracked.is_startable,
            // Once its starts are not carried out any more, it is over unless its upstream lists it.
            Phase::Inherited => {
                let until = tracked.open_starts.until();
                tracked.is_startable && until.is_some_and(|until| self.now <= until)
            }
        }
    }

    /// Whether a run that an upstream does not list is over. The list answers a call that was sent at the given time.
    pub(super) fn is_over_when_absent(
        &self,
        registry: &Registry,
        key: RunKey,
        tracked: &TrackedRun,
        sent: Instant,
    ) -> bool {
        if self
            .open_until(registry, key, tracked)
            .is_some_and(|until| sent <= until)
        {
            return false;
        }
        // A confirmed stop also blocks a start that arrives later.
        let is_blocked = tracked
            .stopping
            .and_then(|stop: StopOrder| stop.confirmed)
            .is_some_and(|at| at < sent);
        match tracked.phase {
            Phase::Inherited => true,
            Phase::Started { at } => at < sent,
            Phase::Sending { .. } => false,
            Phase::Unanswered { .. } => is_blocked,
        }
    }

    /// Tasks that may not be started yet: a start of a run that is over may still be carried out, or be at work.
    pub(super) fn tasks_with_open_starts(&self, registry: &Registry) -> Vec<id::Task> {
        let open = self.unresolved_starts.iter();
        let open = open.filter(|(_, start)| self.now <= self.unresolved_over_at(start));
        let tasks = open.map(|((task, _), _)| *task);
        tasks.filter(|task| must_run_once(registry, task)).collect()
    }

    /// Time until which a start of a run may still be carried out; none if that would do no harm.
    fn open_until(
        &self,
        registry: &Registry,
        key: RunKey,
        tracked: &TrackedRun,
    ) -> Option<Instant> {
        let until = tracked.open_starts.until()?;
        must_run_once(registry, &key.0).then_some(until)
    }
}

/// Whether a task may be started again, and must not run twice then.
fn must_run_once(registry: &Registry, task: &id::Task) -> bool {
    let job = registry.job(task.job);
    let has_copies = registry
        .step(task)
        .is_some_and(|step| step.copies && !step.gang);
    job.is_some_and(|job| job.state == State::Open) && !has_copies
}

use {
    super::{
        Engine,
        engine::RunKey,
        session::{Session, expired_after},
        tracked_run::{Phase, StopOrder, TrackedRun},
    },
    std::time::Instant,
    work::{
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
            // It is not expected back under its id, so the lease of a next incarnation is not waited for.
            Some(until) if session.is_leaving() => lease_end.max(until),
            Some(until) => lease_end.max(until + expired_after(self.settings.max_lease)),
            None => lease_end,
        }
    }

    /// Time after which no call gives a lease to a run that an open start begins; none if no start of it is open.
    pub(super) fn late_until(&self, tracked: &TrackedRun) -> Option<Instant> {
        let until = tracked.open_starts.until()?;
        // Late calls give the lease of whatever incarnation carries out the start.
        let session = self.sessions.get(&tracked.upstream);
        let staying = session.filter(|session| !session.is_leaving());
        Some(staying.map_or(until, |session| session.late_calls_until().max(until)))
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

    /// Tasks that may not be started yet: a start of a run that is over may still be carried out.
    pub(super) fn tasks_with_open_starts(&self, registry: &Registry) -> Vec<id::Task> {
        let open = self.unresolved_starts.iter();
        let open = open.filter(|(_, start)| self.now <= start.until);
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

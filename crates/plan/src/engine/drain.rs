use {
    super::{
        Engine,
        engine::RunKey,
        tracked_run::{Phase, TrackedRun},
    },
    crate::learn,
    std::time::{Duration, Instant},
    work::{
        collections::IndexMap,
        id,
        job::Step,
        registry::{Job, Registry, Update},
        upstream::Upstream,
    },
};

/// An upstream often stays longer than announced, so a run without checkpoints is stopped only if its expected time
/// exceeds the remaining time by this factor.
const EXTRA_STAY_FACTOR: f64 = 1.5;

/// Delivery time of a stop order, in addition to the time that the stop takes.
pub(super) const STOP_DELIVERY: Duration = Duration::from_millis(300);

/// Departure time of each upstream that drains; none if it is unknown.
pub(super) type Departures = IndexMap<id::Upstream, Option<Instant>>;

/// What to do with a run on an upstream that is about to leave.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Drain {
    /// Let it run: it may end in time, or can still save a checkpoint later.
    Keep,
    /// Stop it, so that the task starts on another upstream.
    Evacuate,
}

impl Drain {
    /// Decides for a run that needs `need` more time on an upstream that stays for `left`, if a stop takes `stop`.
    ///
    /// A run that saves checkpoints goes on as long as its stop can still be carried out. A run without checkpoints
    /// would lose all its work, so its task starts elsewhere at once.
    pub fn decide(
        need: Duration,
        left: Duration,
        stop: Duration,
        saves_checkpoints: bool,
    ) -> Drain {
        let must_leave = match saves_checkpoints {
            true => need > left && left <= stop + STOP_DELIVERY,
            false => need > left.mul_f64(EXTRA_STAY_FACTOR),
        };
        if must_leave {
            Drain::Evacuate
        } else {
            Drain::Keep
        }
    }
}

/// Runs on upstreams that are about to leave.
impl Engine {
    /// Records the departure time of upstreams that have begun to drain.
    pub(super) fn record_departures(&mut self, registry: &Registry) {
        self.departures
            .retain(|id, _| registry.upstream(id).is_some_and(|known| known.draining));
        for upstream in registry.upstreams() {
            self.record_departure(upstream);
        }
    }

    /// Records the departure time of an upstream if it has begun to drain.
    pub(super) fn record_departure(&mut self, upstream: &Upstream) {
        if !upstream.draining {
            self.departures.shift_remove(&upstream.id);
            return;
        }
        let left = upstream.leaving_ms.map(Duration::from_millis);
        let at = left.and_then(|left| self.now.checked_add(left));
        self.departures.entry(upstream.id.clone()).or_insert(at);
    }

    /// Sets the departure time of upstreams that drain already to unknown, since a new leader does not know when their
    /// drain began. Their runs go on.
    pub(super) fn ignore_current_drains(&mut self, registry: &Registry) {
        let draining = registry.upstreams().filter(|upstream| upstream.draining);
        self.departures = draining
            .map(|upstream| (upstream.id.clone(), None))
            .collect();
    }

    /// Records that an upstream leaves. It gets no new work, and is removed once nothing can run there any more.
    pub(super) fn on_leave(&mut self, upstream: &id::Upstream, born_ms: u64) {
        if let Some(session) = self.sessions.get_mut(upstream)
            && session.born_ms == born_ms
        {
            session.has_left = true;
            self.leaving.insert(upstream.clone());
        }
    }

    /// Removes the upstreams that have left and whose runs are over.
    pub(super) fn remove_departed(&mut self, registry: &Registry) {
        let mut leaving = std::mem::take(&mut self.leaving);
        leaving.retain(|id| {
            let Some(session) = self.sessions.get(id).filter(|session| session.has_left) else {
                return false;
            };
            if self.may_have_runs(registry, id) {
                return true;
            }
            let born_ms = session.born_ms;
            log::info!("event=upstream_removed upstream={id} born_ms={born_ms}");
            let upstream = id.clone();
            self.updates.push(Update::Forget { upstream, born_ms });
            false
        });
        self.leaving = leaving;
    }

    /// Whether an upstream has runs, or gets some by a proposal without a known outcome.
    pub(super) fn may_have_runs(&self, registry: &Registry, id: &id::Upstream) -> bool {
        let mut proposed = self.placements_under_way();
        registry.allocations_on(id).next().is_some()
            || proposed.any(|placement| placement.upstream == *id)
    }

    /// Expected time until a run ends.
    pub(super) fn need(&self, job: &Job, step: &Step, tracked: &TrackedRun) -> Duration {
        let expected = Duration::from_secs_f64(self.estimator.expected_ms(job, step) / 1000.0);
        let worked = tracked
            .progressed_at
            .saturating_duration_since(tracked.tracked_since);
        let known = learn::remaining(expected, worked, tracked.percent, tracked.resumed);
        known.saturating_sub(self.now.saturating_duration_since(tracked.progressed_at))
    }

    /// Stops a run that cannot end before its upstream leaves.
    pub(super) fn check_departure(&mut self, registry: &Registry, key: RunKey) {
        let Some(tracked) = self.tracked_runs.get(&key) else {
            return;
        };
        let leaves = self.departures.get(&tracked.upstream).copied().flatten();
        let (Some(leaves), Some(job), Some(step)) =
            (leaves, registry.job(key.0.job), registry.step(&key.0))
        else {
            return;
        };
        let is_working = tracked.is_listed && matches!(tracked.phase, Phase::Started { .. });
        if step.lasting || tracked.stopping.is_some() || !is_working {
            return;
        }
        let need = self.need(job, step, tracked);
        let left = leaves.saturating_duration_since(self.now);
        let decision = Drain::decide(need, left, self.settings.stop_timeout, step.checkpoints);
        if decision == Drain::Evacuate {
            log::info!(
                "event=run_evacuated task={} run={} upstream={} need_ms={} left_ms={} saves={}",
                key.0,
                key.1,
                tracked.upstream,
                need.as_millis(),
                left.as_millis(),
                step.checkpoints
            );
            self.stop(key, "upstream_leaves");
            self.stop_gang(registry, key, "upstream_leaves");
        }
    }
}

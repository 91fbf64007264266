use {
    super::{
        Engine,
        engine::{RunKey, UnresolvedStart},
        session::Session,
        tracked_run::{Phase, TrackedRun},
    },
    work::{
        collections::IndexSet,
        id,
        registry::{Change, Registry, State},
        upstream::Upstream,
    },
};

/// Comparison of sessions and tracked runs with the registry.
impl Engine {
    /// Brings sessions and tracked runs in line with the registry. Examines only what has changed, if that is known.
    pub(super) fn sync_with_registry(&mut self, registry: &Registry) {
        let seen = self.seen_revision.replace(registry.revision());
        if seen == Some(registry.revision()) {
            return;
        }
        self.plan_needed = true;
        match seen.and_then(|seen| registry.changes_since(seen)) {
            Some(changes) => self.apply_changes(registry, changes),
            None => self.sync_all(registry, seen.is_none()),
        }
    }

    fn apply_changes<'a>(
        &mut self,
        registry: &Registry,
        changes: impl Iterator<Item = &'a Change>,
    ) {
        let mut upstreams: IndexSet<&id::Upstream> = IndexSet::default();
        let mut runs: IndexSet<RunKey> = IndexSet::default();
        let mut ended_jobs = Vec::new();
        for change in changes {
            self.effort.synced += 1;
            match change {
                Change::Upstream(id) => drop(upstreams.insert(id)),
                Change::Run {
                    task,
                    run,
                    upstream,
                } => {
                    runs.insert((*task, *run));
                    self.discard_usage(upstream);
                    if let Some(session) = self.sessions.get_mut(upstream) {
                        session.may_need_hold = true;
                    }
                }
                Change::JobEnded(id, state) => {
                    self.log_ended_job(registry, *id, *state);
                    ended_jobs.push(*id);
                }
            }
        }
        for id in upstreams {
            match registry.upstream(id) {
                Some(upstream) => {
                    self.sync_upstream(registry, upstream);
                    self.record_departure(upstream);
                }
                None => {
                    self.remove_session(id);
                    self.speeds.forget(id);
                    self.unexplained_losses.discard(id);
                    self.addresses.remove(id);
                    self.departures.shift_remove(id);
                }
            }
        }
        for key in runs {
            self.sync_run(registry, key);
        }
        for job in ended_jobs.into_iter().filter_map(|id| registry.job(id)) {
            for (task, run, _) in job.live_runs() {
                self.check_need(registry, (task, run.number));
            }
        }
    }

    fn sync_all(&mut self, registry: &Registry, first: bool) {
        if first {
            self.take_over_unresolved_starts(registry);
        }
        for upstream in registry.upstreams() {
            self.effort.synced += 1;
            self.sync_upstream(registry, upstream);
        }
        let is_gone = |id: &id::Upstream| registry.upstream(id).is_none();
        let gone = self.sessions.keys().filter(|id| is_gone(id)).cloned();
        for id in gone.collect::<Vec<_>>() {
            self.remove_session(&id);
            self.unexplained_losses.discard(&id);
            self.addresses.remove(&id);
            self.speeds.forget(&id);
        }
        if first {
            self.ignore_current_drains(registry);
        } else {
            self.record_departures(registry);
        }
        self.usages.clear();
        let mut runs: IndexSet<RunKey> = self.tracked_runs.keys().copied().collect();
        runs.extend(registry.allocations().map(|(_, key, _)| *key));
        for key in runs {
            self.effort.synced += 1;
            self.sync_run(registry, key);
        }
    }

    fn sync_upstream(&mut self, registry: &Registry, upstream: &Upstream) {
        self.addresses.set(&upstream.id, &upstream.address);
        let known = self.sessions.get(&upstream.id).cloned();
        if known
            .as_ref()
            .is_none_or(|session| session.born_ms != upstream.born_ms)
        {
            if let Some(earlier) = &known {
                self.record_crash(registry, &upstream.id, earlier);
            }
            let token_offset = match &known {
                Some(earlier) => self.next_token_offset().max(earlier.token_offset + 1),
                None if self.removed.contains_key(&upstream.id) => self.next_token_offset(),
                None => 0,
            };
            let mut session = Session::new(upstream.born_ms, self.now, &self.settings);
            session.token_offset = token_offset;
            for start in self.unresolved_starts.values() {
                if start.upstream == upstream.id {
                    session.record_open_start(start.until);
                }
            }
            self.sessions.insert(upstream.id.clone(), session);
            self.health.shift_remove(&upstream.id);
            self.speeds.restart(upstream);
            self.reset_stops(registry, &upstream.id);
        }
        if let Some(session) = self.sessions.get_mut(&upstream.id) {
            session.draining = upstream.draining;
        }
    }

    /// Forgets the state of an upstream that was removed.
    fn remove_session(&mut self, id: &id::Upstream) {
        if self.sessions.shift_remove(id).is_some() {
            self.removed.insert(id.clone(), self.now);
        }
    }

    /// Drops a tracked run that the registry does not have any more, or tracks one that an earlier leader assigned.
    fn sync_run(&mut self, registry: &Registry, key: RunKey) {
        let Some(run) = registry.run(&key.0, key.1) else {
            if let Some(tracked) = self.tracked_runs.swap_remove(&key) {
                self.record_unresolved_start(key, &tracked);
            }
            return;
        };
        if let Some(tracked) = self.tracked_runs.get_mut(&key) {
            tracked.born_ms = run.born_ms;
            return;
        }
        // The commit of the proposal begins the run.
        if self
            .placements_under_way()
            .any(|placement| placement.task == key.0)
        {
            return;
        }
        let Some(step) = registry.step(&key.0) else {
            return;
        };
        let mut tracked = TrackedRun::new(
            run.upstream.clone(),
            run.born_ms,
            step.reserved(),
            Phase::Inherited,
            self.now,
        );
        tracked.open_starts = self.inheritance.open_starts(key, run, self.now);
        tracked.is_startable = self.inheritance.may_be_started(key, run);
        self.tracked_runs.insert(key, tracked);
    }

    /// Tracks the runs of a task that are not tracked yet.
    pub(super) fn track_live_runs(&mut self, registry: &Registry, task: &id::Task) {
        let live = registry.task(task).into_iter().flat_map(|task| &task.live);
        for number in live.map(|run| run.number).collect::<Vec<_>>() {
            self.sync_run(registry, (*task, number));
        }
    }

    fn log_ended_job(&self, registry: &Registry, id: id::Job, state: State) {
        let Some(job) = registry.job(id) else {
            return;
        };
        let ended_ms = job.ended_ms.unwrap_or(self.time_ms);
        log::info!(
            "event=job_ended job={id} state={state} took_ms={} lost_upstreams={}",
            ended_ms.saturating_sub(job.accepted_ms),
            job.lost_upstreams()
        );
    }

    /// Records a run that is over if a start of it may still be carried out.
    fn record_unresolved_start(&mut self, key: RunKey, tracked: &TrackedRun) {
        if let Some(until) = tracked.open_starts.until() {
            let unresolved = UnresolvedStart {
                upstream: tracked.upstream.clone(),
                until,
            };
            self.unresolved_starts.insert(key, unresolved);
            if let Some(session) = self.sessions.get_mut(&tracked.upstream) {
                session.record_open_start(until);
            }
        }
    }

    /// Discards the stops sent to an upstream that has restarted, so that they are ordered again where needed: its new
    /// incarnation does not know the stops that the earlier one confirmed.
    fn reset_stops(&mut self, registry: &Registry, upstream: &id::Upstream) {
        self.discard_usage(upstream);
        for (key, _) in registry.allocations_on(upstream) {
            if let Some(tracked) = self.tracked_runs.get_mut(key) {
                tracked.stopping = None;
            }
        }
    }
}

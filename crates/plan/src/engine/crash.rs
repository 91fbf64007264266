use {
    super::{
        Engine,
        engine::RunKey,
        session::Session,
        tracked_run::{Phase, TrackedRun},
    },
    std::time::{Duration, Instant},
    work::{
        id,
        registry::{Blame, Registry, Update, Void},
        upstream::Upstream,
    },
};

/// Time between the latest sign of a run and the first failed hold within which the run was at work when contact was lost.
/// A crash closes the connection at once; behind a cut, calls run into their timeouts.
const MAX_TIME_TO_BREAK: Duration = Duration::from_millis(100);

/// Time between the latest sign of a run and the start of the next incarnation within which the run was at work when its
/// upstream crashed. Shorter than the work of any task of the users' sheets.
const MAX_TIME_TO_RESTART: Duration = Duration::from_millis(500);

/// Share of the time that a run needs for the rest of its work, as its progress shows, before which it cannot have ended.
const MIN_SHARE_OF_TIME_LEFT: f64 = 0.7;

/// Losses under one member for which a gang may be given up if they may have had another cause.
const MIN_POSSIBLE_LOSSES_OF_MEMBER: u32 = 3;

/// Crashes of upstreams, and the runs that may have caused them.
impl Engine {
    /// Voids the runs of the upstreams that this one has replaced: an earlier incarnation had the same address under
    /// another id. Called once this one has answered at that address.
    pub(super) fn void_replaced(&mut self, registry: &Registry, id: &id::Upstream) {
        let Some(upstream) = registry.upstream(id) else {
            return;
        };
        let at_address = self.addresses.upstreams_at(&upstream.address);
        let at_address = at_address.filter_map(|earlier| registry.upstream(earlier));
        // The start time is 0 where upstreams do not report it.
        let is_replaced = |earlier: &&Upstream| {
            earlier.address == upstream.address
                && earlier.id != upstream.id
                && earlier.born_ms > 0
                && earlier.born_ms < upstream.born_ms
        };
        let replaced = at_address.filter(is_replaced);
        let replaced: Vec<_> = replaced.map(|earlier| earlier.id.clone()).collect();
        for earlier in replaced {
            let Some(session) = self.sessions.get(&earlier).cloned() else {
                continue;
            };
            log::info!(
                "event=upstream_replaced upstream={earlier} born_ms={} by={id}",
                session.born_ms
            );
            self.record_crash(registry, &earlier, &session);
            let runs: Vec<RunKey> = registry
                .allocations_on(&earlier)
                .map(|(key, _)| *key)
                .collect();
            for key in runs {
                // The upstream that is at the address now refuses the starts that were sent to the earlier one.
                if let Some(tracked) = self.tracked_runs.get_mut(&key) {
                    tracked.open_starts.clear();
                }
                self.void(registry, key, Void::Replaced);
            }
            self.updates.push(Update::Forget {
                upstream: earlier,
                born_ms: session.born_ms,
            });
        }
    }

    /// Records for each run of an incarnation that has ended without leaving whether the run may have crashed it.
    pub(super) fn record_crash(
        &mut self,
        registry: &Registry,
        id: &id::Upstream,
        session: &Session,
    ) {
        if session.draining {
            self.unexplained_losses.discard(id);
            return;
        }
        self.unexplained_losses.confirm_crash(id, session.born_ms);
        let lost = self.runs_of_incarnation(registry, id, session.born_ms);
        log::warn!(
            "event=upstream_crashed upstream={id} born_ms={} runs={}",
            session.born_ms,
            lost.len()
        );
        let alone = is_one_unit(registry, &lost);
        for key in lost {
            let lasting = registry.step(&key.0).is_some_and(|step| step.lasting);
            if let Some(tracked) = self.tracked_runs.get_mut(&key) {
                tracked.blame = blame_of_crash(tracked, alone, lasting);
                tracked.lost_at = session.lost_at();
            }
        }
    }

    /// Tracked runs on one incarnation of an upstream.
    fn runs_of_incarnation(
        &self,
        registry: &Registry,
        id: &id::Upstream,
        born_ms: u64,
    ) -> Vec<RunKey> {
        let is_there = |tracked: &TrackedRun| tracked.upstream == *id && tracked.born_ms == born_ms;
        registry
            .allocations_on(id)
            .map(|(key, _)| *key)
            .filter(|key| self.tracked_runs.get(key).is_some_and(is_there))
            .collect()
    }

    /// How far a run that is voided has caused the loss of its upstream, as far as that is known.
    pub(super) fn blame_of_void(
        &mut self,
        registry: &Registry,
        key: RunKey,
        reason: Void,
    ) -> Blame {
        let Some(tracked) = self.tracked_runs.get(&key) else {
            return Blame::None;
        };
        let own = match reason {
            Void::Refused | Void::Absent => Blame::None,
            _ if tracked.blame != Blame::None => {
                limit_to_seen(tracked, self.successor_began_at(registry, tracked))
            }
            // The upstream restarted under an earlier leader, which may have sent the start.
            Void::Reborn if tracked.percent == 0 && tracked.may_have_started() => Blame::Possible,
            Void::Reborn | Void::Replaced => Blame::None,
            Void::Lapsed => {
                self.add_unexplained_loss(registry, key);
                Blame::None
            }
        };
        let blame = match own {
            // A void records one loss, so one without a loss of its own reports an earlier crash.
            Blame::None => self.unexplained_losses.take_crash(&key.0),
            own => own,
        };
        let blame = limit_to_repeated(registry, &key.0, blame);
        match self.tracked_runs.get(&key) {
            Some(tracked) => {
                let began_at = self.successor_began_at(registry, tracked);
                let may_have_ended = may_have_ended(tracked, began_at);
                limit_to_proved(registry, &key.0, may_have_ended, blame)
            }
            None => blame,
        }
    }

    /// When the incarnation began that has replaced the one of a run, under the same id or another one.
    fn successor_began_at(&self, registry: &Registry, tracked: &TrackedRun) -> Option<Instant> {
        let address = &registry.upstream(&tracked.upstream)?.address;
        let mut at_address = self.addresses.upstreams_at(address);
        at_address.find_map(|id| {
            let session = self.sessions.get(id)?;
            let is_later = session.born_ms > tracked.born_ms;
            is_later.then(|| session.began_at()).flatten()
        })
    }

    /// Remembers the loss of a run whose upstream has crashed or is cut off.
    fn add_unexplained_loss(&mut self, registry: &Registry, key: RunKey) {
        let Some(tracked) = self.tracked_runs.get(&key) else {
            return;
        };
        let (upstream, born_ms) = (tracked.upstream.clone(), tracked.born_ms);
        let lost_at = self.sessions.get(&upstream).and_then(Session::lost_at);
        let alone = is_one_unit(
            registry,
            &self.runs_of_incarnation(registry, &upstream, born_ms),
        );
        let lasting = registry.step(&key.0).is_some_and(|step| step.lasting);
        let mut tracked = tracked.clone();
        tracked.lost_at = lost_at;
        tracked.blame = blame_of_crash(&tracked, alone, lasting);
        let blame = limit_to_seen(&tracked, None);
        self.unexplained_losses.add(key, upstream, born_ms, blame);
    }
}

/// Whether all runs belong to one task, or to one run of a gang.
fn is_one_unit(registry: &Registry, runs: &[RunKey]) -> bool {
    let Some(first) = runs.first() else {
        return true;
    };
    let gang = registry.step(&first.0).is_some_and(|step| step.gang);
    runs.iter().all(|key| match gang {
        true => key.1 == first.1 && key.0.is_same_step(&first.0),
        false => key == first,
    })
}

/// Leaves out the loss for which a gang would be given up, unless upstreams were lost repeatedly under one member. The
/// registry adds up the losses of all members.
fn limit_to_repeated(registry: &Registry, task: &id::Task, blame: Blame) -> Blame {
    let gang = registry.step(task).is_some_and(|step| step.gang);
    let (true, Some(step), Some(member)) = (gang, registry.progress(task), registry.task(task))
    else {
        return blame;
    };
    let is_repeated = match blame {
        Blame::Possible => {
            let members = step.tasks.iter().map(|member| member.losses.total());
            let most = members.max().unwrap_or(0);
            most.max(member.losses.total() + 1) >= MIN_POSSIBLE_LOSSES_OF_MEMBER
        }
        _ => member.losses.total() > 0,
    };
    match !is_repeated && step.gang_losses.is_too_many_with(blame) {
        true => Blame::None,
        false => blame,
    }
}

/// Leaves out the loss for which a task would be given up if the run may not have been at work when its upstream crashed.
fn limit_to_proved(
    registry: &Registry,
    task: &id::Task,
    may_have_ended: bool,
    blame: Blame,
) -> Blame {
    let (Some(step), Some(member)) = (registry.progress(task), registry.task(task)) else {
        return blame;
    };
    let gang = registry.step(task).is_some_and(|step| step.gang);
    let is_decisive =
        member.losses.is_too_many_with(blame) || (gang && step.gang_losses.is_too_many_with(blame));
    match blame == Blame::Possible && may_have_ended && is_decisive {
        true => Blame::None,
        false => blame,
    }
}

/// Whether a run may have ended before its upstream crashed, or may never have been there.
fn may_have_ended(tracked: &TrackedRun, successor_began_at: Option<Instant>) -> bool {
    if !tracked.is_known_to_have_started() {
        return tracked.phase != Phase::Inherited;
    }
    // A task that crashes its upstreams right after its start makes no progress.
    if tracked.percent == 0 {
        return false;
    }
    let Some(began_at) = successor_began_at else {
        return true;
    };
    let took = tracked
        .seen_at
        .saturating_duration_since(tracked.tracked_since);
    let left = f64::from(100 - tracked.percent.min(100)) / f64::from(tracked.percent);
    began_at > tracked.seen_at + took.mul_f64(left * MIN_SHARE_OF_TIME_LEFT)
}

/// Leaves a crash as a possible one unless the run was seen at work shortly before. Otherwise it may have ended before the
/// crash, unknown to the leader: behind a cut an upstream runs on and may crash later.
fn limit_to_seen(tracked: &TrackedRun, successor_began_at: Option<Instant>) -> Blame {
    let is_broken = |at| at <= tracked.seen_at + MAX_TIME_TO_BREAK;
    // A clock that does not start with the incarnation gives a time before the run.
    let is_restarted =
        |at| at >= tracked.tracked_since && at <= tracked.seen_at + MAX_TIME_TO_RESTART;
    let was_at_work =
        tracked.lost_at.is_some_and(is_broken) || successor_began_at.is_some_and(is_restarted);
    match tracked.blame {
        Blame::Sole | Blame::Shared if !was_at_work => Blame::Possible,
        blame => blame,
    }
}

/// How far a run may have caused the crash of its upstream. `alone` tells whether nothing else ran there.
fn blame_of_crash(tracked: &TrackedRun, alone: bool, lasting: bool) -> Blame {
    let has_progress = tracked.percent > 0;
    // A task that lasts meets many crashes of other causes, so only those before it was at work count.
    let was_at_work = lasting && has_progress;
    if was_at_work || !tracked.may_have_started() {
        return Blame::None;
    }
    match tracked.is_known_to_have_started() && !has_progress {
        true if alone => Blame::Sole,
        true => Blame::Shared,
        false => Blame::Possible,
    }
}

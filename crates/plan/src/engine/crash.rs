use {
    super::{Engine, engine::RunKey, session::Session, tracked_run::TrackedRun},
    work::{
        id,
        registry::{Blame, Registry, Update, Void},
        upstream::Upstream,
    },
};

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
                self.void(key, Void::Replaced);
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
            return;
        }
        let is_lost =
            |tracked: &TrackedRun| tracked.upstream == *id && tracked.born_ms == session.born_ms;
        let lost: Vec<RunKey> = registry
            .allocations_on(id)
            .map(|(key, _)| *key)
            .filter(|key| self.tracked_runs.get(key).is_some_and(is_lost))
            .collect();
        log::warn!(
            "event=upstream_crashed upstream={id} born_ms={} runs={}",
            session.born_ms,
            lost.len()
        );
        let Some(first) = lost.first() else {
            return;
        };
        let gang = registry.step(&first.0).is_some_and(|step| step.gang);
        let same_unit = |key: &RunKey| match gang {
            true => key.1 == first.1 && key.0.is_same_step(&first.0),
            false => key == first,
        };
        let alone = lost.iter().all(same_unit);
        for key in lost {
            let lasting = registry.step(&key.0).is_some_and(|step| step.lasting);
            if let Some(tracked) = self.tracked_runs.get_mut(&key) {
                tracked.blame = blame_of_crash(tracked, alone, lasting);
            }
        }
    }

    /// How far a run that is voided may have caused the loss of its upstream.
    pub(super) fn blame_of_void(&self, tracked: &TrackedRun, reason: Void) -> Blame {
        match reason {
            Void::Refused | Void::Absent => Blame::None,
            _ if tracked.blame != Blame::None => tracked.blame,
            // Whether the upstream has crashed or is cut off is not known.
            Void::Lapsed | Void::Reborn if tracked.percent == 0 && tracked.may_have_started() => {
                Blame::Possible
            }
            _ => Blame::None,
        }
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

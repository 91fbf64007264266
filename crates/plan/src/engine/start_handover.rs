use {
    super::{
        Engine,
        engine::{RunKey, UnresolvedStart},
        open_starts::{LATE_CALL_LIMIT, OpenStarts},
    },
    std::time::{Duration, Instant},
    work::{
        collections::{IndexMap, IndexSet},
        id,
        registry::{Registry, Run},
        upstream::{OpenStart, StartReport},
    },
};

/// What an earlier leader has told of its starts.
#[derive(Debug, Default)]
pub(super) struct Inheritance {
    covered_ms: u64,
    settled: IndexSet<RunKey>,
    /// Time until which the starts of a run may be carried out; none if the earlier leader may have sent further ones.
    open: IndexMap<RunKey, (id::Upstream, Option<Instant>)>,
}

impl Inheritance {
    /// Open starts of a run that an earlier leader has assigned.
    pub fn open_starts(&self, key: RunKey, run: &Run, now: Instant) -> OpenStarts {
        if self.may_be_started(key, run) {
            return OpenStarts::inherited(now);
        }
        match self.open.get(&key) {
            Some((_, Some(until))) => OpenStarts::inherited_until(*until),
            _ => OpenStarts::none(now),
        }
    }

    /// Whether the earlier leader may have sent starts of a run since it told of them, or none at all.
    pub fn may_be_started(&self, key: RunKey, run: &Run) -> bool {
        match self.open.get(&key) {
            Some((_, until)) => until.is_none(),
            None => run.assigned_ms >= self.covered_ms && !self.settled.contains(&key),
        }
    }
}

/// Starts that the next leader has to know.
impl Engine {
    /// What the next leader has to know of the starts that this one has sent.
    pub fn start_report(&self, registry: &Registry) -> StartReport {
        let now = self.now;
        let mut settled = Vec::new();
        let mut tracked = Vec::new();
        for (key, run) in &self.tracked_runs {
            let left_ms = left_ms(self.late_until(run), now);
            if self.may_be_started(run) {
                tracked.push((*key, run.upstream.clone(), None));
            } else if left_ms.is_some() {
                tracked.push((*key, run.upstream.clone(), left_ms));
            } else if is_assigned_since(registry, *key, self.covered_ms) {
                settled.push(*key);
            }
        }
        let over = self.unresolved_starts.iter().filter_map(|(key, start)| {
            let left_ms = left_ms(Some(start.until), now)?;
            Some((*key, start.upstream.clone(), Some(left_ms)))
        });
        let open = tracked.into_iter().chain(over);
        let open = open.map(|((task, run), upstream, left_ms)| OpenStart {
            upstream,
            task,
            run,
            left_ms,
        });
        StartReport {
            covered_ms: self.covered_ms,
            settled,
            open: open.collect(),
        }
    }

    /// Begins with what an earlier leader has told of its starts at `at`. What was assigned since may have open starts.
    pub fn inherit_starts(&mut self, report: &StartReport, at: Instant) {
        let until = |left_ms: u32| at + Duration::from_millis(u64::from(left_ms));
        for start in &report.open {
            let key = (start.task, start.run);
            let until = start.left_ms.map(until);
            self.inheritance
                .open
                .insert(key, (start.upstream.clone(), until));
        }
        self.inheritance.covered_ms = report.covered_ms;
        self.inheritance.settled = report.settled.iter().copied().collect();
    }

    /// Takes over the open starts of runs that are over.
    pub(super) fn take_over_unresolved_starts(&mut self, registry: &Registry) {
        let open = self.inheritance.open.iter();
        for (key, (upstream, until)) in
            open.filter(|((task, run), _)| registry.run(task, *run).is_none())
        {
            // The earlier leader may have sent further starts before the run was over.
            let until = until.unwrap_or(self.now + LATE_CALL_LIMIT);
            let upstream = upstream.clone();
            let unresolved = UnresolvedStart { upstream, until };
            self.unresolved_starts.insert(*key, unresolved);
        }
    }

    /// Notes up to where the registry has no run that this leader may not know.
    pub(super) fn cover_starts(&mut self, registry: &Registry) {
        let oldest = self.proposed_placements.values().next();
        self.covered_ms = oldest.map_or(registry.time_ms, |oldest| oldest.since_ms);
    }
}

fn is_assigned_since(registry: &Registry, (task, number): RunKey, since_ms: u64) -> bool {
    let run = registry.run(&task, number);
    run.is_some_and(|run| run.assigned_ms >= since_ms)
}

fn left_ms(until: Option<Instant>, now: Instant) -> Option<u32> {
    let left = until?.checked_duration_since(now)?;
    u32::try_from(left.as_millis()).ok()
}

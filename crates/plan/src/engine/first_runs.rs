use {
    super::{Engine, engine::RunKey},
    std::time::{Duration, Instant},
    work::{
        collections::IndexMap,
        id,
        registry::{Registry, State, Update},
    },
};

/// Longest wait of a first run for another proposal that reports it too. Callers may see the state of a job 2 s late.
const REPORT_DELAY: Duration = Duration::from_millis(500);

/// Time after which a first run is reported again if the registry does not have it.
const REPEAT_DELAY: Duration = Duration::from_secs(2);

/// Runs that show that a job has begun, which the registry does not know yet.
#[derive(Debug, Default)]
pub(super) struct FirstRuns {
    /// The run and the time at which it was seen, by job.
    waiting: IndexMap<id::Job, (RunKey, Instant)>,
    /// Time of the proposal, by job.
    proposed: IndexMap<id::Job, Instant>,
}

impl Engine {
    /// Takes note of a run that has started, unless the registry knows that its job has begun.
    pub(super) fn check_first_run(&mut self, registry: &Registry, key: RunKey) {
        let job = registry.job(key.0.job);
        if !job.is_some_and(|job| !job.begun && job.state == State::Open) {
            return;
        }
        let tracked = self.tracked_runs.get(&key);
        if !tracked.is_some_and(|tracked| tracked.is_known_to_have_started()) {
            return;
        }
        let (now, first_runs) = (self.now, &mut self.first_runs);
        let proposed = first_runs.proposed.get(&key.0.job);
        if proposed.is_none_or(|at| now >= *at + REPEAT_DELAY) {
            let waiting = first_runs.waiting.entry(key.0.job);
            waiting.or_insert((key, now));
        }
    }

    /// Adds the first runs to the updates of this step, if there are others or they have waited for long enough. They come
    /// first, as a later update may end them.
    pub(super) fn report_first_runs(&mut self) {
        let waiting = &self.first_runs.waiting;
        let oldest = waiting.first().map(|(_, (_, seen_at))| *seen_at);
        let is_due = oldest.is_some_and(|seen_at| self.now >= seen_at + REPORT_DELAY);
        if waiting.is_empty() || (self.updates.is_empty() && !is_due) {
            return;
        }
        let mut updates = Vec::new();
        for (job, (key, _)) in std::mem::take(&mut self.first_runs.waiting) {
            if let Some(tracked) = self.tracked_runs.get(&key) {
                updates.push(Update::Running {
                    task: key.0,
                    run: key.1,
                    born_ms: tracked.born_ms,
                });
                self.first_runs.proposed.insert(job, self.now);
            }
        }
        updates.append(&mut self.updates);
        self.updates = updates;
    }

    /// Forgets the proposals for jobs that have begun or ended.
    pub(super) fn prune_first_runs(&mut self, registry: &Registry) {
        self.first_runs.proposed.retain(|job, _| {
            let job = registry.job(*job);
            job.is_some_and(|job| !job.begun && job.state == State::Open)
        });
    }
}

use {
    indexmap::IndexMap,
    model::{job::Class, place::Place, shape::Shape},
    std::collections::{BTreeMap, BTreeSet},
    std::time::Instant,
};

/// Order in a queue: submission time, then job.
pub type Key = (u64, u64);

/// What decides whether a queued job can be placed, beside its account and class. Jobs that ask for
/// the same stand in one line, so that the first one speaks for all.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Requirements {
    /// The gang.
    pub shape: Shape,
    /// Where it shall run.
    pub place: Option<Place>,
    /// Whether it can be stopped again once it runs.
    pub preemptible: bool,
    /// Workers on which it failed.
    pub avoid: Vec<u32>,
}

/// Queued jobs by account, class and ask, and jobs that wait for a later attempt.
#[derive(Clone, Debug, Default)]
pub struct Queue {
    queues: BTreeMap<(u32, Class), IndexMap<Requirements, BTreeSet<Key>>>,
    delayed: BTreeSet<(Instant, u64)>,
}

impl Queue {
    /// Adds a job.
    pub fn insert(&mut self, account: u32, class: Class, requirements: &Requirements, key: Key) {
        let queue = self.queues.entry((account, class)).or_default();
        match queue.get_mut(requirements) {
            Some(jobs) => jobs.insert(key),
            None => queue.entry(requirements.clone()).or_default().insert(key),
        };
    }

    /// Removes a job.
    pub fn remove(&mut self, account: u32, class: Class, requirements: &Requirements, key: Key) {
        let Some(queue) = self.queues.get_mut(&(account, class)) else {
            return;
        };
        if let Some(jobs) = queue.get_mut(requirements) {
            jobs.remove(&key);
            if jobs.is_empty() {
                queue.swap_remove(requirements);
            }
        }
        if queue.is_empty() {
            self.queues.remove(&(account, class));
        }
    }

    /// The first job of every account, class and ask.
    pub fn heads(&self) -> impl Iterator<Item = (u32, Class, Key)> {
        self.queues.iter().flat_map(|((account, class), queue)| {
            queue
                .values()
                .filter_map(|jobs| Some((*account, *class, *jobs.first()?)))
        })
    }

    /// The first job after `key` of the same account, class and ask.
    pub fn next_after(
        &self,
        account: u32,
        class: Class,
        requirements: &Requirements,
        key: Key,
    ) -> Option<Key> {
        let jobs = self.queues.get(&(account, class))?.get(requirements)?;
        jobs.range((key.0, key.1 + 1)..).next().copied()
    }

    /// How many jobs of the account and class are in front of `key`.
    pub fn count_ahead(&self, account: u32, class: Class, key: Key) -> usize {
        let Some(queue) = self.queues.get(&(account, class)) else {
            return 0;
        };
        queue.values().map(|jobs| jobs.range(..key).count()).sum()
    }

    /// Adds a job that waits until `due`.
    pub fn delay(&mut self, due: Instant, job: u64) {
        self.delayed.insert((due, job));
    }

    /// Removes a waiting job.
    pub fn cancel_delay(&mut self, due: Instant, job: u64) {
        self.delayed.remove(&(due, job));
    }

    /// Takes the next waiting job that is due.
    pub fn pop_due(&mut self, now: Instant) -> Option<u64> {
        let &(due, job) = self.delayed.first()?;
        if due > now {
            return None;
        }
        self.delayed.remove(&(due, job));
        Some(job)
    }
}

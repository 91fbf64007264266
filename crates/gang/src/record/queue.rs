use {
    indexmap::IndexMap,
    model::{job::Class, place::Place, shape::Shape},
    std::collections::{BTreeMap, BTreeSet},
    std::time::Instant,
};

/// Position in a queue: submission time in milliseconds, then job id.
pub type Key = (u64, u64);

/// What determines, together with account and class, whether a queued job can be placed. Jobs with
/// equal requirements share a queue: if the first does not fit, none of them does.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Requirements {
    /// Shape of the gang.
    pub shape: Shape,
    /// Place named by the job; `None` for the home region of the account.
    pub place: Option<Place>,
    /// Whether it can be preempted once it runs.
    pub preemptible: bool,
    /// Indices of the machines on which it failed.
    pub avoid: Vec<u32>,
}

/// Queued jobs by account, class and requirements, and jobs in backoff.
#[derive(Clone, Debug, Default)]
pub struct Queue {
    queues: BTreeMap<(u32, Class), IndexMap<Requirements, BTreeSet<Key>>>,
    delayed: BTreeSet<(Instant, u64)>,
}

impl Queue {
    /// Adds a job to the queue of its account, class and requirements.
    pub fn insert(&mut self, account: u32, class: Class, requirements: &Requirements, key: Key) {
        let queue = self.queues.entry((account, class)).or_default();
        match queue.get_mut(requirements) {
            Some(jobs) => jobs.insert(key),
            None => queue.entry(requirements.clone()).or_default().insert(key),
        };
    }

    /// Removes a job, if it is queued.
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

    /// The first job of each queue.
    pub fn heads(&self) -> impl Iterator<Item = (u32, Class, Key)> {
        self.queues.iter().flat_map(|((account, class), queue)| {
            queue
                .values()
                .filter_map(|jobs| Some((*account, *class, *jobs.first()?)))
        })
    }

    /// The job that follows `key` in its queue.
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

    /// Number of jobs of the account and class that were submitted before `key`.
    pub fn count_ahead(&self, account: u32, class: Class, key: Key) -> usize {
        let Some(queue) = self.queues.get(&(account, class)) else {
            return 0;
        };
        queue.values().map(|jobs| jobs.range(..key).count()).sum()
    }

    /// Adds a job that is in backoff until `due`.
    pub fn delay(&mut self, due: Instant, job: u64) {
        self.delayed.insert((due, job));
    }

    /// Removes a job that is in backoff until `due`.
    pub fn cancel_delay(&mut self, due: Instant, job: u64) {
        self.delayed.remove(&(due, job));
    }

    /// Removes and returns the next job whose backoff has ended.
    pub fn pop_due(&mut self, now: Instant) -> Option<u64> {
        let &(due, job) = self.delayed.first()?;
        if due > now {
            return None;
        }
        self.delayed.remove(&(due, job));
        Some(job)
    }
}

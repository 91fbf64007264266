use {
    indexmap::IndexMap,
    model::{job::Class, shape::Shape},
    std::collections::{BTreeMap, BTreeSet},
    std::time::Instant,
};

/// Order in a queue: submission time, then job.
pub type Key = (u64, u64);

/// Queued jobs by account, class and shape, and jobs that wait for a later attempt.
#[derive(Clone, Debug, Default)]
pub struct Queue {
    lines: BTreeMap<(u32, Class), IndexMap<Shape, BTreeSet<Key>>>,
    waiting: BTreeSet<(Instant, u64)>,
}

impl Queue {
    /// Adds a job.
    pub fn insert(&mut self, account: u32, class: Class, shape: &Shape, key: Key) {
        let line = self.lines.entry((account, class)).or_default();
        match line.get_mut(shape) {
            Some(jobs) => jobs.insert(key),
            None => line.entry(shape.clone()).or_default().insert(key),
        };
    }

    /// Removes a job.
    pub fn remove(&mut self, account: u32, class: Class, shape: &Shape, key: Key) {
        let Some(line) = self.lines.get_mut(&(account, class)) else {
            return;
        };
        if let Some(jobs) = line.get_mut(shape) {
            jobs.remove(&key);
            if jobs.is_empty() {
                line.swap_remove(shape);
            }
        }
        if line.is_empty() {
            self.lines.remove(&(account, class));
        }
    }

    /// The first job of every account, class and shape.
    pub fn heads(&self) -> impl Iterator<Item = (u32, Class, &Shape, Key)> {
        self.lines.iter().flat_map(|((account, class), line)| {
            line.iter()
                .filter_map(|(shape, jobs)| Some((*account, *class, shape, *jobs.first()?)))
        })
    }

    /// The first job after `key` of the same account, class and shape.
    pub fn after(&self, account: u32, class: Class, shape: &Shape, key: Key) -> Option<Key> {
        let jobs = self.lines.get(&(account, class))?.get(shape)?;
        jobs.range((key.0, key.1 + 1)..).next().copied()
    }

    /// How many jobs of the account and class are in front of `key`.
    pub fn ahead(&self, account: u32, class: Class, key: Key) -> usize {
        let Some(line) = self.lines.get(&(account, class)) else {
            return 0;
        };
        line.values().map(|jobs| jobs.range(..key).count()).sum()
    }

    /// Adds a job that waits until `due`.
    pub fn wait(&mut self, due: Instant, job: u64) {
        self.waiting.insert((due, job));
    }

    /// Removes a waiting job.
    pub fn unwait(&mut self, due: Instant, job: u64) {
        self.waiting.remove(&(due, job));
    }

    /// Takes the next waiting job that is due.
    pub fn due(&mut self, now: Instant) -> Option<u64> {
        let &(due, job) = self.waiting.first()?;
        if due > now {
            return None;
        }
        self.waiting.remove(&(due, job));
        Some(job)
    }
}

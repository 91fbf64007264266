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
pub struct Ask {
    /// The gang.
    pub shape: Shape,
    /// Where it shall run.
    pub place: Option<Place>,
    /// Whether it can be stopped again once it runs.
    pub stoppable: bool,
    /// Workers on which it failed.
    pub avoid: Vec<u32>,
}

/// Queued jobs by account, class and ask, and jobs that wait for a later attempt.
#[derive(Clone, Debug, Default)]
pub struct Queue {
    lines: BTreeMap<(u32, Class), IndexMap<Ask, BTreeSet<Key>>>,
    waiting: BTreeSet<(Instant, u64)>,
}

impl Queue {
    /// Adds a job.
    pub fn insert(&mut self, account: u32, class: Class, ask: &Ask, key: Key) {
        let line = self.lines.entry((account, class)).or_default();
        match line.get_mut(ask) {
            Some(jobs) => jobs.insert(key),
            None => line.entry(ask.clone()).or_default().insert(key),
        };
    }

    /// Removes a job.
    pub fn remove(&mut self, account: u32, class: Class, ask: &Ask, key: Key) {
        let Some(line) = self.lines.get_mut(&(account, class)) else {
            return;
        };
        if let Some(jobs) = line.get_mut(ask) {
            jobs.remove(&key);
            if jobs.is_empty() {
                line.swap_remove(ask);
            }
        }
        if line.is_empty() {
            self.lines.remove(&(account, class));
        }
    }

    /// The first job of every account, class and ask.
    pub fn heads(&self) -> impl Iterator<Item = (u32, Class, Key)> {
        self.lines.iter().flat_map(|((account, class), line)| {
            line.values()
                .filter_map(|jobs| Some((*account, *class, *jobs.first()?)))
        })
    }

    /// The first job after `key` of the same account, class and ask.
    pub fn after(&self, account: u32, class: Class, ask: &Ask, key: Key) -> Option<Key> {
        let jobs = self.lines.get(&(account, class))?.get(ask)?;
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

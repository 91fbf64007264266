//! What the minions have run, and the rule TWICE.

use {
    crate::record::Record,
    std::{
        collections::{BTreeMap, HashMap, HashSet},
        net::SocketAddr,
        sync::{
            Mutex, MutexGuard,
            atomic::{AtomicBool, AtomicUsize, Ordering},
        },
        time::Duration,
    },
};

/// A task and the number of its run.
pub type Key = (String, u64);

/// All runs that were begun, by task, for the judge.
#[derive(Default)]
pub struct Book {
    /// Task, run, minion, begin, end and how it ended.
    pub runs: Vec<Begun>,
    pub open: HashMap<(String, Key), usize>,
    /// Positions in `runs` by task.
    pub by_task: BTreeMap<String, Vec<usize>>,
    pub broken: Vec<String>,
    pub noted: HashSet<usize>,
}

pub struct Begun {
    pub key: Key,
    pub minion: String,
    pub begun_ms: u128,
    pub ended: Option<(u128, &'static str)>,
}

pub struct World {
    pub record: Record,
    pub controls: Vec<SocketAddr>,
    pub hold_max_ms: f64,
    pub heartbeat: Duration,
    pub over: AtomicBool,
    pub book: Mutex<Book>,
    pub starts: AtomicUsize,
}

impl World {
    pub fn book(&self) -> MutexGuard<'_, Book> {
        self.book.lock().unwrap()
    }

    pub fn begun(&self, minion: &str, key: &Key) {
        self.starts.fetch_add(1, Ordering::Relaxed);
        let now = self.record.ms();
        let mut book = self.book();
        let earlier = book.by_task.get(&key.0).cloned().unwrap_or_default();
        let mut broken = Vec::new();
        for at in earlier {
            let other = &book.runs[at];
            if other.ended.is_none() {
                broken.push(format!(
                    "TWICE: run {} of {} begins on {minion} at {now} ms while run {} is at work on {} (up, since {} ms)",
                    key.1, key.0, other.key.1, other.minion, other.begun_ms
                ));
            }
        }
        for line in broken {
            self.record.add(&line);
            book.broken.push(line);
        }
        let at = book.runs.len();
        book.runs.push(Begun {
            key: key.clone(),
            minion: minion.to_owned(),
            begun_ms: now,
            ended: None,
        });
        book.open.insert((minion.to_owned(), key.clone()), at);
        book.by_task.entry(key.0.clone()).or_default().push(at);
        drop(book);
        self.record
            .add(format!("{minion} begins run {} of {}", key.1, key.0));
    }

    pub fn ended(&self, minion: &str, key: &Key, how: &'static str) {
        let now = self.record.ms();
        let mut book = self.book();
        if let Some(at) = book.open.remove(&(minion.to_owned(), key.clone())) {
            book.runs[at].ended = Some((now, how));
        }
        drop(book);
        self.record
            .add(format!("{minion} ends run {} of {}: {how}", key.1, key.0));
    }

    /// `lastSeen` has reached the end of a run.
    pub fn noted(&self, minion: &str, key: &Key) {
        let mut book = self.book();
        let found = book
            .by_task
            .get(&key.0)
            .into_iter()
            .flatten()
            .copied()
            .find(|at| book.runs[*at].minion == minion && book.runs[*at].key == *key);
        if let Some(at) = found {
            book.noted.insert(at);
        }
    }

    /// Starts after a run has ended `done` whose end was taken note of then or later.
    pub fn judge_done(&self) -> usize {
        let mut book = self.book();
        let mut broken = Vec::new();
        for positions in book.by_task.values() {
            for at in positions {
                let done = &book.runs[*at];
                let Some((ended_ms, "done")) = done.ended else {
                    continue;
                };
                if !book.noted.contains(at) {
                    continue;
                }
                for later in positions.iter().map(|later| &book.runs[*later]) {
                    if later.key.1 > done.key.1 && later.begun_ms > ended_ms {
                        broken.push(format!(
                            "TWICE: run {} of {} begins on {} at {} ms; run {} had ended done on {} at {ended_ms} ms, and that end was taken note of",
                            later.key.1, later.key.0, later.minion, later.begun_ms, done.key.1, done.minion
                        ));
                    }
                }
            }
        }
        for line in &broken {
            self.record.add(line);
        }
        let count = broken.len();
        book.broken.extend(broken);
        count
    }
}

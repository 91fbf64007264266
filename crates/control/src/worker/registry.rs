use {
    indexmap::IndexMap,
    model::worker::Announcement,
    std::{
        sync::{Mutex, MutexGuard, PoisonError},
        time::Instant,
    },
};

/// Most workers kept; announcements of further ones are ignored.
const MAX_WORKERS: usize = 4096;

/// A worker's last announcement.
#[derive(Clone, Debug)]
pub struct Seen {
    /// What it said.
    pub announcement: Announcement,
    /// When it was heard.
    pub heard: Instant,
}

#[derive(Debug, Default)]
struct Held {
    workers: IndexMap<String, Seen>,
    fresh: Vec<String>,
}

/// The workers that announced themselves.
#[derive(Debug, Default)]
pub struct Registry {
    held: Mutex<Held>,
}

impl Registry {
    fn held(&self) -> MutexGuard<'_, Held> {
        self.held.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Takes an announcement unless a newer one of the same worker was taken.
    pub fn hear(&self, announcement: Announcement, now: Instant) {
        let mut held = self.held();
        let name = announcement.worker.name.clone();
        if let Some(seen) = held.workers.get(&name) {
            if seen.announcement.sequence >= announcement.sequence {
                return;
            }
        } else if held.workers.len() >= MAX_WORKERS {
            log::warn!("event=worker_ignored worker={name} reason=\"too many workers\"");
            return;
        }
        let seen = Seen {
            announcement,
            heard: now,
        };
        held.workers.insert(name.clone(), seen);
        if !held.fresh.contains(&name) {
            held.fresh.push(name);
        }
    }

    /// Every known worker.
    pub fn list(&self) -> Vec<Seen> {
        self.held().workers.values().cloned().collect()
    }

    /// One worker.
    pub fn get(&self, name: &str) -> Option<Seen> {
        self.held().workers.get(name).cloned()
    }

    /// Returns the announcements heard since the last call.
    pub fn take_fresh(&self) -> Vec<Seen> {
        let mut held = self.held();
        let fresh = std::mem::take(&mut held.fresh);
        fresh
            .iter()
            .filter_map(|name| held.workers.get(name).cloned())
            .collect()
    }

    /// Forgets a worker.
    pub fn remove(&self, name: &str) {
        self.held().workers.shift_remove(name);
    }
}

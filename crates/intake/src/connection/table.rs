use {
    super::Stage,
    indexmap::IndexMap,
    std::time::{Duration, Instant},
};

/// Time for which a client may leave an answer untaken before its connection may be closed for another one.
const ANSWER_GRACE: Duration = Duration::from_secs(2);

/// Open connections, each with a handle of type `T`.
#[derive(Debug)]
pub struct Table<T> {
    limit: usize,
    next: u64,
    entries: IndexMap<u64, Entry<T>>,
}

#[derive(Debug)]
struct Entry<T> {
    stage: Stage,
    /// Begin of the stage; of the head for an incomplete request.
    since: Instant,
    handle: T,
}

/// What becomes of a new connection.
#[derive(Debug, PartialEq, Eq)]
pub enum Admission<T> {
    /// It is open under this id.
    Open(u64),
    /// It is open under this id, and the connection with this handle is to be closed.
    Replaced(u64, T),
    /// All connections have a request that is being worked on, so it is refused.
    Full,
}

impl<T> Table<T> {
    /// A table for at most `limit` connections.
    pub fn new(limit: usize) -> Table<T> {
        Table {
            limit,
            next: 0,
            entries: IndexMap::new(),
        }
    }

    /// Number of open connections.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Whether no connection is open.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Decides on a new connection. If the table is full, the one that has been idle or incomplete the longest makes
    /// room, never one whose request is being worked on.
    pub fn admit(&mut self, handle: T, now: Instant) -> Admission<T> {
        let mut closed = None;
        if self.entries.len() >= self.limit {
            let Some(entry) = self
                .stalest(now)
                .and_then(|id| self.entries.swap_remove(&id))
            else {
                return Admission::Full;
            };
            closed = Some(entry.handle);
        }
        let id = self.next;
        self.next += 1;
        let entry = Entry {
            stage: Stage::Idle,
            since: now,
            handle,
        };
        self.entries.insert(id, entry);
        match closed {
            Some(handle) => Admission::Replaced(id, handle),
            None => Admission::Open(id),
        }
    }

    /// Notes the stage of a connection.
    pub fn set(&mut self, id: u64, stage: Stage, now: Instant) {
        let Some(entry) = self.entries.get_mut(&id) else {
            return;
        };
        // The age of an incomplete request counts from its first byte.
        if !matches!(stage, Stage::Working | Stage::Body) {
            entry.since = now;
        }
        entry.stage = stage;
    }

    /// Forgets a connection that has ended.
    pub fn remove(&mut self, id: u64) {
        self.entries.swap_remove(&id);
    }

    fn stalest(&self, now: Instant) -> Option<u64> {
        let candidates = self.entries.iter().filter(|(_, entry)| match entry.stage {
            Stage::Idle | Stage::Head | Stage::Body => true,
            Stage::Working => false,
            Stage::Answering => now.saturating_duration_since(entry.since) >= ANSWER_GRACE,
        });
        candidates
            .min_by_key(|(id, entry)| (entry.since, **id))
            .map(|(id, _)| *id)
    }
}

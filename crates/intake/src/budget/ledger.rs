use {indexmap::IndexMap, std::time::Instant};

/// Reservations of a common amount of memory, each with a handle of type `T`.
///
/// A reservation is open while its owner still receives (or sends) something, and settled afterwards. When the memory
/// is used up, open reservations are cut, those that have gone longest without progress first. Settled ones are never
/// cut: something is being done with what they hold.
#[derive(Debug)]
pub struct Ledger<T> {
    limit: usize,
    max_fragmented: usize,
    used: usize,
    next: u64,
    entries: IndexMap<u64, Entry<T>>,
}

#[derive(Debug)]
struct Entry<T> {
    bytes: usize,
    progress: Instant,
    open: bool,
    fragmented: bool,
    handle: T,
}

/// What becomes of a demand.
#[derive(Debug, PartialEq, Eq)]
pub struct Outcome<T> {
    /// Whether it is granted. If not, the reservation that demanded is to be released.
    pub granted: bool,
    /// Handles of the reservations that were cut for it.
    pub cut: Vec<T>,
}

impl<T> Ledger<T> {
    /// A ledger of `limit` bytes that admits `max_fragmented` open fragmented reservations.
    pub fn new(limit: usize, max_fragmented: usize) -> Ledger<T> {
        Ledger {
            limit,
            max_fragmented,
            used: 0,
            next: 0,
            entries: IndexMap::new(),
        }
    }

    /// Bytes that are reserved.
    pub fn used(&self) -> usize {
        self.used
    }

    /// Opens an empty reservation.
    pub fn open(&mut self, handle: T, now: Instant) -> u64 {
        let id = self.next;
        self.next += 1;
        let entry = Entry {
            bytes: 0,
            progress: now,
            open: true,
            fragmented: false,
            handle,
        };
        self.entries.insert(id, entry);
        id
    }

    /// Whether the reservation has neither been cut nor released.
    pub fn contains(&self, id: u64) -> bool {
        self.entries.contains_key(&id)
    }

    /// Adds to a reservation, which counts as progress if it is open. A settled reservation is granted more than the
    /// limit if no other is settled, so that a single large request is served.
    pub fn grow(&mut self, id: u64, bytes: usize, now: Instant) -> Outcome<T> {
        let mut cut = Vec::new();
        let Some(entry) = self.entries.get_mut(&id) else {
            return Outcome {
                granted: false,
                cut,
            };
        };
        entry.progress = now;
        let alone = !entry.open && self.entries.values().filter(|entry| !entry.open).count() == 1;
        let mut granted = true;
        while self.used + bytes > self.limit {
            match self.stalest(|_| true) {
                Some(stalest) if stalest != id => cut.extend(self.remove(stalest)),
                _ => {
                    granted = alone;
                    break;
                }
            }
        }
        if granted {
            self.used += bytes;
            if let Some(entry) = self.entries.get_mut(&id) {
                entry.bytes += bytes;
            }
        }
        Outcome { granted, cut }
    }

    /// Notes progress of an open reservation. Returns false if it has been cut.
    pub fn progress(&mut self, id: u64, now: Instant) -> bool {
        let entry = self.entries.get_mut(&id);
        entry.map(|entry| entry.progress = now).is_some()
    }

    /// Notes that what is received comes in very small parts. Beyond the bound the one of these that has gone longest
    /// without progress is cut.
    pub fn fragment(&mut self, id: u64) -> Outcome<T> {
        let Some(entry) = self.entries.get_mut(&id) else {
            let cut = Vec::new();
            return Outcome {
                granted: false,
                cut,
            };
        };
        entry.fragmented = true;
        let open = |entry: &&Entry<T>| entry.open && entry.fragmented;
        let mut cut = Vec::new();
        if self.entries.values().filter(open).count() > self.max_fragmented {
            let stalest = self.stalest(|entry| entry.fragmented);
            cut.extend(stalest.and_then(|stalest| self.remove(stalest)));
        }
        Outcome {
            granted: self.contains(id),
            cut,
        }
    }

    /// Settles a reservation. Returns false if it has been cut.
    pub fn settle(&mut self, id: u64) -> bool {
        let entry = self.entries.get_mut(&id);
        entry.map(|entry| entry.open = false).is_some()
    }

    /// Ends a reservation.
    pub fn release(&mut self, id: u64) {
        self.remove(id);
    }

    fn remove(&mut self, id: u64) -> Option<T> {
        let entry = self.entries.swap_remove(&id)?;
        self.used -= entry.bytes;
        Some(entry.handle)
    }

    fn stalest(&self, is_candidate: impl Fn(&Entry<T>) -> bool) -> Option<u64> {
        let entries = self.entries.iter();
        let candidates = entries.filter(|(_, entry)| entry.open && is_candidate(entry));
        candidates
            .min_by_key(|(id, entry)| (entry.progress, **id))
            .map(|(id, _)| *id)
    }
}

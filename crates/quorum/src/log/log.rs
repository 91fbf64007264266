use crate::{Entry, Members, Payload, PersistentState};

/// The entries after a compacted prefix, and the member lists that they carry.
#[derive(Debug)]
pub(crate) struct Log {
    /// Last compacted entry, 0 at the start of the log.
    base_index: u64,
    /// Term of that entry.
    base_term: u64,
    entries: Vec<Entry>,
    /// Member lists by the index of their entry, ascending. The first may be at or before the base.
    member_lists: Vec<(u64, Members)>,
}

impl Log {
    /// Loads the stored log and takes its entries out of `persistent`.
    ///
    /// # Panics
    ///
    /// Panics if the stored log has a gap, because starting without the missing entries could lose
    /// acknowledged ones.
    pub fn new(persistent: &mut PersistentState) -> Log {
        let mut log = match &persistent.snapshot {
            Some(snapshot) => {
                Log::after_snapshot(snapshot.index, snapshot.term, snapshot.members.clone())
            }
            None => Log::after_snapshot(0, 0, Members::default()),
        };
        for entry in std::mem::take(&mut persistent.entries) {
            if entry.index > log.base_index {
                assert_eq!(
                    entry.index,
                    log.last_index() + 1,
                    "the stored log has a gap"
                );
                log.append(entry);
            }
        }
        log
    }

    /// Returns an empty log that continues after a snapshot.
    pub fn after_snapshot(index: u64, term: u64, members: Members) -> Log {
        Log {
            base_index: index,
            base_term: term,
            entries: Vec::new(),
            member_lists: vec![(index, members)],
        }
    }

    pub fn first_index(&self) -> u64 {
        self.base_index + 1
    }

    pub fn last_index(&self) -> u64 {
        self.base_index + self.entries.len() as u64
    }

    pub fn last_term(&self) -> u64 {
        self.entries
            .last()
            .map_or(self.base_term, |entry| entry.term)
    }

    /// Term of the entry at `index`, or of the base; `None` if it is compacted or not in the log
    /// yet.
    pub fn term(&self, index: u64) -> Option<u64> {
        if index == self.base_index {
            return Some(self.base_term);
        }
        self.get(index).map(|entry| entry.term)
    }

    pub fn get(&self, index: u64) -> Option<&Entry> {
        let position = index.checked_sub(self.first_index())?;
        self.entries.get(usize::try_from(position).ok()?)
    }

    /// All entries from `index` on.
    pub fn entries_from(&self, index: u64) -> &[Entry] {
        let position = index.saturating_sub(self.first_index()) as usize;
        &self.entries[position.min(self.entries.len())..]
    }

    /// Entries from `index` on with at most `max_bytes` in total, but at least one if there is one.
    pub fn batch(&self, index: u64, max_bytes: usize) -> &[Entry] {
        let tail = self.entries_from(index);
        let mut total = 0;
        let count = tail
            .iter()
            .take_while(|entry| {
                total += entry.size();
                total <= max_bytes
            })
            .count();
        &tail[..count.max(1).min(tail.len())]
    }

    pub fn append(&mut self, entry: Entry) {
        if let Payload::Members(members) = &entry.payload {
            self.member_lists.push((entry.index, members.clone()));
        }
        self.entries.push(entry);
    }

    /// Removes the entries from `index` on, and their member lists.
    pub fn truncate(&mut self, index: u64) {
        let length = index.saturating_sub(self.first_index()) as usize;
        self.entries.truncate(length);
        self.member_lists
            .retain(|(at, _)| *at < index || *at <= self.base_index);
    }

    /// Removes the entries up to `index`. The member list in force there stays.
    pub fn compact(&mut self, index: u64) {
        let Some(term) = self.term(index) else { return };
        let obsolete = self
            .member_lists
            .iter()
            .filter(|(at, _)| *at <= index)
            .count();
        self.member_lists.drain(..obsolete.saturating_sub(1));
        self.entries.drain(..(index - self.base_index) as usize);
        self.base_index = index;
        self.base_term = term;
    }

    /// The latest member list, committed or not.
    pub fn members(&self) -> &Members {
        &self.member_lists[self.member_lists.len() - 1].1
    }

    /// Index of the entry that carries the latest member list.
    pub fn members_index(&self) -> u64 {
        self.member_lists[self.member_lists.len() - 1].0
    }

    /// The member list in force at `index`.
    pub fn members_at(&self, index: u64) -> &Members {
        let position = self.member_lists.iter().rposition(|(at, _)| *at <= index);
        &self.member_lists[position.unwrap_or(0)].1
    }

    /// Index and term of the last entry at or before `index` whose term is at most `term`, or of
    /// the base if no entry in memory qualifies. The term is 0 if `index` lies before the base.
    pub fn last_with_term_at_most(&self, index: u64, term: u64) -> (u64, u64) {
        let mut index = index.min(self.last_index());
        while let Some(found) = self.term(index) {
            if found <= term || index == self.base_index {
                return (index, found);
            }
            index -= 1;
        }
        (index, 0)
    }
}

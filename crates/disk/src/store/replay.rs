use {
    super::{Entry, Snapshot},
    crate::format::Record,
};

/// The log as far as its records were applied.
#[derive(Default)]
pub struct Replay {
    started: bool,
    pub hard: Option<Vec<u8>>,
    /// Index and term up to which a snapshot must exist.
    base: (u64, u64),
    /// Base of the newest segment.
    newest_start: (u64, u64),
    /// Index of the first of `entries`, or of the next entry if there are none.
    first: u64,
    /// Term of the entry before `first`, if known.
    before: Option<u64>,
    pub entries: Vec<Entry>,
}

impl Replay {
    /// Tells whether the newest segment starts from another snapshot than the newest.
    pub fn is_outdated(&self) -> bool {
        self.newest_start != self.base
    }

    fn last(&self) -> (u64, Option<u64>) {
        match self.entries.last() {
            Some(entry) => (entry.index, Some(entry.term)),
            None => (self.first - 1, self.before),
        }
    }

    /// Applies a record; the error says why it does not fit.
    pub fn apply(&mut self, record: Record<'_>) -> Result<(), String> {
        match record {
            Record::Start { base, last, hard } => self.start(base, last, hard),
            _ if !self.started => Err("the segment has no start record".into()),
            Record::Entry { index, term, bytes } => {
                let next = self.last().0 + 1;
                if index != next || index == u64::MAX {
                    return Err(format!("entry {index} follows where {next} is expected"));
                }
                self.entries.push(Entry {
                    index,
                    term,
                    bytes: bytes.to_owned(),
                });
                Ok(())
            }
            Record::Truncate(from) => self.truncate(from),
            Record::Hard(bytes) => {
                self.hard = Some(bytes.to_owned());
                Ok(())
            }
        }
    }

    fn start(
        &mut self,
        base: (u64, u64),
        last: (u64, u64),
        hard: Option<&[u8]>,
    ) -> Result<(), String> {
        if last.0 < base.0 || last.0 == u64::MAX {
            return Err(format!(
                "the log ends at {} before its base {}",
                last.0, base.0
            ));
        }
        if !self.started {
            self.started = true;
            self.base = base;
            self.first = last.0 + 1;
            self.before = Some(last.1);
        } else if base != self.base {
            if base.0 < self.base.0 {
                return Err(format!("base {} follows base {}", base.0, self.base.0));
            }
            self.compact(base)?;
        }
        let (index, term) = self.last();
        if index != last.0 || term.is_some_and(|term| term != last.1) {
            return Err(format!(
                "the segment continues entry {} but the log before it ends at {}",
                last.0, index
            ));
        }
        if self.entries.is_empty() {
            self.before = Some(last.1);
        }
        self.newest_start = base;
        self.hard = hard.map(<[u8]>::to_owned);
        Ok(())
    }

    fn truncate(&mut self, from: u64) -> Result<(), String> {
        if from <= self.base.0 {
            return Err(format!("truncation from {from} at base {}", self.base.0));
        }
        if from > self.last().0 {
            return Ok(());
        }
        if from < self.first {
            self.first = from;
            self.before = None;
        }
        self.entries.truncate((from - self.first) as usize);
        Ok(())
    }

    /// Moves the base; keeps later entries only if the entry at the base has its term.
    fn compact(&mut self, base: (u64, u64)) -> Result<(), String> {
        let (index, term) = base;
        self.base = base;
        if index + 1 < self.first {
            return Ok(());
        }
        let found = if index + 1 == self.first {
            match self.before {
                Some(term) => Some(term),
                None => return Err(format!("the term of entry {index} is missing")),
            }
        } else {
            self.entries
                .get((index - self.first) as usize)
                .map(|entry| entry.term)
        };
        if found == Some(term) {
            self.entries.drain(..(index + 1 - self.first) as usize);
        } else {
            self.entries.clear();
        }
        self.first = index + 1;
        self.before = Some(term);
        Ok(())
    }

    /// Combines the log with the newest snapshot; the error says what is missing.
    pub fn finish(&mut self, snapshot: Option<&Snapshot>) -> Result<(), String> {
        let newest = snapshot.map_or((0, 0), |snapshot| (snapshot.index, snapshot.term));
        if !self.started {
            self.first = newest.0 + 1;
            self.before = Some(newest.1);
            self.base = newest;
            self.newest_start = newest;
            return Ok(());
        }
        if newest.0 < self.base.0 {
            return Err(format!(
                "the snapshot at entry {} is missing; the newest covers entry {}",
                self.base.0, newest.0
            ));
        }
        if newest != self.base {
            self.compact(newest)?;
        }
        if self.first != newest.0 + 1 {
            return Err(format!(
                "entries {} to {} are missing",
                newest.0 + 1,
                self.first - 1
            ));
        }
        Ok(())
    }
}

/// Terms of the entries of a log, as runs of equal terms.
#[derive(Clone, Debug, Default)]
pub struct Terms {
    /// Index and term that the log starts after.
    base: (u64, u64),
    last: u64,
    /// First index and term of each run.
    runs: Vec<(u64, u64)>,
}

impl Terms {
    /// An empty log that starts after `base`.
    pub fn new(base: (u64, u64)) -> Terms {
        Terms {
            base,
            last: base.0,
            runs: Vec::new(),
        }
    }

    /// Index and term that the log starts after.
    pub fn base(&self) -> (u64, u64) {
        self.base
    }

    /// Index and term of the last entry.
    pub fn last(&self) -> (u64, u64) {
        (self.last, self.runs.last().map_or(self.base.1, |run| run.1))
    }

    /// Adds an entry.
    pub fn push(&mut self, term: u64) {
        self.last += 1;
        if self.runs.last().is_none_or(|run| run.1 != term) {
            self.runs.push((self.last, term));
        }
    }

    /// Removes all entries from `from`, which lies after the base.
    pub fn truncate(&mut self, from: u64) {
        self.runs.retain(|run| run.0 < from);
        self.last = self.last.min(from - 1);
    }

    /// Moves the base; keeps later entries only if the entry at `index` has this `term`.
    pub fn compact(&mut self, index: u64, term: u64) {
        if self.term(index) != Some(term) {
            *self = Terms::new((index, term));
            return;
        }
        let kept = self.runs.partition_point(|run| run.0 <= index + 1);
        if kept > 0 && self.last > index {
            self.runs[kept - 1].0 = self.runs[kept - 1].0.max(index + 1);
            self.runs.drain(..kept - 1);
        } else {
            self.runs.drain(..kept);
        }
        self.base = (index, term);
    }

    fn term(&self, index: u64) -> Option<u64> {
        if index == self.base.0 {
            return Some(self.base.1);
        }
        if !(self.base.0..=self.last).contains(&index) {
            return None;
        }
        let run = self.runs.partition_point(|run| run.0 <= index);
        Some(self.runs[run.checked_sub(1)?].1)
    }
}

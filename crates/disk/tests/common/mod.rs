//! A model of a store and a workload that runs on both.
#![allow(dead_code)] // Each test file uses a part.

use {
    disk::{
        Contents, Entry, Error, Folder, Snapshot, Store,
        fs::{Loss, Memory},
    },
    std::sync::Arc,
};

pub const FOLDER: &str = "/data";
pub const GROUP: &str = "config";

/// A change of a store.
#[derive(Clone, Debug)]
pub enum Step {
    /// Appends this many entries of a term and size.
    Append(u64, u64, usize),
    Truncate(u64),
    Hard(u8),
    Sync,
    Save(u64, u64),
}

/// What a store should hold.
#[derive(Clone, Debug, Default)]
pub struct Model {
    /// With every change that was accepted.
    pub now: Contents,
    /// With every change that was reported as durable.
    pub durable: Contents,
    /// What may be found besides `durable` when the last call failed.
    pub possible: Vec<Contents>,
    /// State after each change since the last sync.
    waiting: Vec<Contents>,
}

impl Model {
    pub fn last(&self) -> u64 {
        let base = self.now.snapshot.as_ref().map_or(0, |s| s.index);
        self.now.entries.last().map_or(base, |entry| entry.index)
    }

    /// Runs a step on the store and, as far as it succeeds, on the model.
    pub fn run(&mut self, store: &mut Store, step: &Step) -> Result<(), Error> {
        match *step {
            Step::Append(count, term, size) => {
                let first = self.last() + 1;
                let entries: Vec<_> = (first..first + count)
                    .map(|index| Entry {
                        index,
                        term,
                        bytes: vec![index as u8; size],
                    })
                    .collect();
                store.append(entries.iter().map(|e| (e.index, e.term, &e.bytes[..])))?;
                self.now.entries.extend(entries);
            }
            Step::Truncate(from) => {
                store.truncate_from(from)?;
                self.now.entries.retain(|entry| entry.index < from);
            }
            Step::Hard(value) => {
                store.set_hard(&[value])?;
                self.now.hard = Some(vec![value]);
            }
            Step::Sync => {
                let bytes = |c: &Contents| c.entries.iter().map(|e| e.bytes.len()).sum::<usize>();
                // Only large syncs may be found in part.
                self.possible = match bytes(&self.now) - bytes(&self.durable).min(bytes(&self.now))
                {
                    0..4_000_000 => vec![self.now.clone()],
                    _ => std::mem::take(&mut self.waiting),
                };
                store.sync()?;
                self.durable = self.now.clone();
                self.waiting.clear();
                return Ok(());
            }
            Step::Save(index, term) => {
                let mut next = self.now.clone();
                let agrees = match next.entries.iter().find(|e| e.index == index) {
                    Some(entry) => entry.term == term,
                    None => {
                        next.snapshot.as_ref().map(|s| (s.index, s.term)) == Some((index, term))
                    }
                };
                next.entries.retain(|entry| agrees && entry.index > index);
                let bytes = format!("state {index} {term}").into_bytes();
                next.snapshot = Some(Snapshot { index, term, bytes });
                self.possible = vec![self.now.clone(), next.clone()];
                let bytes = &next.snapshot.as_ref().unwrap().bytes;
                store.save_snapshot(index, term, bytes)?;
                self.now = next.clone();
                self.durable = next;
                self.waiting.clear();
                return Ok(());
            }
        }
        self.waiting.push(self.now.clone());
        Ok(())
    }

    /// Tells whether `found` has everything durable and nothing that was never written.
    pub fn admits(&self, found: &Contents) -> bool {
        *found == self.durable || self.possible.contains(found)
    }
}

/// Opens the folder and the store of the group.
pub fn open(memory: &Memory) -> Result<(Store, Contents), Error> {
    let folder = Folder::open_on(Arc::new(memory.clone()), FOLDER)?;
    Store::open(&folder, GROUP)
}

/// What is found after a restart.
pub fn reopen(memory: &Memory, loss: Loss) -> Result<Contents, Error> {
    memory.restart(loss);
    open(memory).map(|(_, contents)| contents)
}

/// Every kind of change, with snapshots inside, at and beyond the log and one that disagrees.
pub fn workload() -> Vec<Step> {
    use Step::*;
    vec![
        Hard(1),
        Append(3, 1, 300),
        Sync,
        Truncate(3),
        Append(2, 2, 700),
        Hard(2),
        Sync,
        Save(2, 1),
        Append(2, 3, 10),
        Save(6, 3),
        Append(3, 3, 600),
        Truncate(8),
        Sync,
        Save(9, 4),
        Append(1, 4, 1500),
        Sync,
        Append(3, 5, 20),
        Sync,
        Save(11, 4),
        Hard(3),
        Append(1, 5, 5),
        Sync,
    ]
}

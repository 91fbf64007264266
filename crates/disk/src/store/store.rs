use {
    super::{
        Contents,
        active::Active,
        bounds::{
            FRAME_BYTES, GROWN_SEGMENT_BYTES, MAX_ENTRY_BYTES, MAX_HARD_BYTES, MAX_LOG_BYTES,
            MAX_PENDING_BYTES, MAX_SNAPSHOT_BYTES, SEGMENT_BYTES,
        },
        claim::Claim,
        created::Created,
        files::Files,
        loaded::{Loaded, damaged},
        reserve::Reserve,
        snapshot,
        terms::Terms,
    },
    crate::{Error, Folder, format::Record},
    std::{
        collections::VecDeque,
        io,
        path::{Path, PathBuf},
        sync::Arc,
    },
};

/// When the next segment is started.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Roll {
    /// The active segment has room.
    No,
    /// The active segment has reached its size.
    Wanted,
    /// The active segment does not start from the newest snapshot; entries may not follow in it.
    Required,
}

/// The durable state of one group: hard state, log entries and a snapshot.
///
/// Changes are kept in memory until [`Store::sync`], which writes them as one frame. A frame is
/// therefore the only thing that a crash can tear. After [`Error::SyncFailed`] every change fails.
pub struct Store {
    files: Files,
    active: Active,
    /// Closed segments, oldest first.
    closed: VecDeque<Closed>,
    terms: Terms,
    hard: Option<Vec<u8>>,
    /// Payloads of the frames to be written.
    pending: VecDeque<Vec<u8>>,
    /// Highest index in `pending`.
    pending_highest: u64,
    durable: u64,
    roll: Roll,
    reserve: Reserve,
    failure: Option<(PathBuf, String)>,
    _claim: Claim,
}

/// A segment that is not written any more.
struct Closed {
    sequence: u64,
    bytes: u64,
    highest: u64,
}

impl Store {
    /// Opens the store of a group, creating it if it does not exist, and returns what it holds.
    pub fn open(folder: &Folder, group: &str) -> Result<(Store, Contents), Error> {
        if !is_name(group) {
            return Err(Error::Name(group.to_owned()));
        }
        let shared = folder.shared();
        let claim = Claim::new(shared, group)?;
        let files = Files {
            fs: Arc::clone(&shared.fs),
            folder: shared.path.join(group),
            incarnation: shared.incarnation,
            group: crc32fast::hash(group.as_bytes()),
        };
        files
            .fs
            .create_folder(&files.folder)
            .map_err(Error::io("create the folder", &files.folder))?;
        // An earlier process may have ended between a change of names and its sync.
        sync_folder(&files, &shared.path)?;
        sync_folder(&files, &files.folder)?;
        let listing = files.list()?;
        let loaded = Loaded::read(&files, &listing)?;
        let created = Created::open(shared, group)?;
        if loaded.segments.is_empty() && created.exists() {
            return Err(damaged(&files.folder, 0, "the log is missing"));
        }
        // Temporary files belong to writes that were never reported as done.
        for name in &listing.temporary {
            let path = files.folder.join(name);
            files.fs.remove(&path).map_err(Error::io("remove", &path))?;
        }
        if let Some(sequence) = loaded.incomplete {
            let path = files.segment(sequence);
            files.fs.remove(&path).map_err(Error::io("remove", &path))?;
            sync_folder(&files, &files.folder)?;
        }
        let (store, contents) = Store::assemble(files, loaded, listing.reserve, claim)?;
        created.write(&store.files)?;
        Ok((store, contents))
    }

    /// Starts from what was found on the disk.
    fn assemble(
        files: Files,
        loaded: Loaded,
        reserve: bool,
        claim: Claim,
    ) -> Result<(Store, Contents), Error> {
        let contents = loaded.contents;
        let base = contents
            .snapshot
            .as_ref()
            .map_or((0, 0), |snapshot| (snapshot.index, snapshot.term));
        let mut terms = Terms::new(base);
        for entry in &contents.entries {
            terms.push(entry.term);
        }
        let mut reserve = Reserve::new(reserve);
        let mut closed: VecDeque<Closed> = loaded
            .segments
            .iter()
            .map(|found| Closed {
                sequence: found.sequence,
                bytes: found.bytes,
                highest: found.highest,
            })
            .collect();
        let active = match (loaded.segments.last(), closed.pop_back()) {
            (Some(found), Some(_)) => Active::open(&files, found)?,
            _ => Active::create(&files, &mut reserve, 1, &start(&terms, None))?,
        };
        let mut store = Store {
            durable: terms.last().0,
            hard: contents.hard.clone(),
            files,
            active,
            closed,
            terms,
            pending: VecDeque::new(),
            pending_highest: 0,
            roll: if loaded.outdated {
                Roll::Required
            } else {
                Roll::No
            },
            reserve,
            failure: None,
            _claim: claim,
        };
        // A disk without space must not prevent the start; appends are refused until it returns.
        match store.reserve.admit(&store.files, 0) {
            Ok(()) | Err(Error::Full { .. }) => Ok((store, contents)),
            Err(error) => Err(error),
        }
    }

    /// Reads again what is durable. Changes that were not synced are not included.
    pub fn load(&self) -> Result<Contents, Error> {
        Ok(Loaded::read(&self.files, &self.files.list()?)?.contents)
    }

    /// Index of the last entry, synced or not.
    pub fn last_index(&self) -> u64 {
        self.terms.last().0
    }

    /// Index of the last entry that is covered by a snapshot.
    pub fn base_index(&self) -> u64 {
        self.terms.base().0
    }

    /// Size of all segments in bytes.
    pub fn log_bytes(&self) -> u64 {
        self.closed.iter().map(|closed| closed.bytes).sum::<u64>() + self.active.bytes()
    }

    /// Tells whether an entry of `bytes` bytes can be accepted now; proposals are refused otherwise.
    pub fn check_space(&mut self, bytes: u64) -> Result<(), Error> {
        self.check_usable()?;
        self.reserve
            .admit(&self.files, bytes + self.pending_bytes())
    }

    /// Adds entries, as index, term and content, to the end of the log. They are durable after the
    /// next [`Store::sync`]. On an error none of them is added.
    pub fn append<'a>(
        &mut self,
        entries: impl IntoIterator<Item = (u64, u64, &'a [u8])>,
    ) -> Result<(), Error> {
        self.settle()?;
        let entries: Vec<_> = entries.into_iter().collect();
        let mut total = 0;
        for (next, &(index, _, bytes)) in (self.terms.last().0 + 1..).zip(&entries) {
            if index != next {
                return Err(Error::Order {
                    operation: "append",
                    index,
                    lowest: next,
                    highest: next,
                });
            }
            bounded("an entry", bytes.len(), MAX_ENTRY_BYTES)?;
            total += bytes.len();
        }
        let waiting = self.pending_bytes();
        bounded(
            "the records that wait for a sync",
            total + waiting as usize,
            MAX_PENDING_BYTES,
        )?;
        bounded("the log", self.log_bytes() as usize, MAX_LOG_BYTES as usize)?;
        if entries.is_empty() {
            return Ok(());
        }
        self.reserve.admit(&self.files, total as u64 + waiting)?;
        for (index, term, bytes) in entries {
            self.push(Record::Entry { index, term, bytes });
            self.terms.push(term);
            self.pending_highest = index;
        }
        Ok(())
    }

    /// Removes all entries from `index`. Durable after the next [`Store::sync`].
    pub fn truncate_from(&mut self, index: u64) -> Result<(), Error> {
        self.settle()?;
        let (base, last) = (self.terms.base().0, self.terms.last().0);
        if index <= base || index > last + 1 {
            return Err(Error::Order {
                operation: "truncate_from",
                index,
                lowest: base + 1,
                highest: last + 1,
            });
        }
        if index <= last {
            self.push(Record::Truncate(index));
            self.terms.truncate(index);
        }
        Ok(())
    }

    /// Replaces the hard state. Durable after the next [`Store::sync`].
    ///
    /// It is accepted on a full disk, so that votes and terms are kept; the reserve has room for it.
    pub fn set_hard(&mut self, bytes: &[u8]) -> Result<(), Error> {
        self.settle()?;
        bounded("the hard state", bytes.len(), MAX_HARD_BYTES)?;
        bounded(
            "the records that wait for a sync",
            bytes.len() + self.pending_bytes() as usize,
            MAX_PENDING_BYTES,
        )?;
        self.push(Record::Hard(bytes));
        self.hard = Some(bytes.to_owned());
        Ok(())
    }

    /// Makes every change so far durable and returns the index of the last durable entry.
    ///
    /// A crash before it returns keeps none or all of the changes. Only more than 4 MiB of changes
    /// are written in parts, so that the first of them may be kept.
    ///
    /// [`Error::Full`] keeps the changes in memory; a later call writes them.
    pub fn sync(&mut self) -> Result<u64, Error> {
        self.check_usable()?;
        while let Some(payload) = self.pending.front() {
            let written = self.active.write(&self.files, &mut self.reserve, payload);
            self.note(written)?;
            self.pending.pop_front();
        }
        self.active.cover(self.pending_highest);
        self.pending_highest = 0;
        self.durable = self.terms.last().0;
        if self.roll == Roll::No && self.active.bytes() >= SEGMENT_BYTES {
            self.roll = Roll::Wanted;
        }
        Ok(self.durable)
    }

    /// Replaces the log up to `index` by a snapshot, which is durable when this returns.
    ///
    /// Entries after `index` are kept if the entry at `index` has this `term`; otherwise the log
    /// disagrees with the snapshot and is dropped. Earlier changes are synced first.
    pub fn save_snapshot(&mut self, index: u64, term: u64, bytes: &[u8]) -> Result<(), Error> {
        self.sync()?;
        let base = self.terms.base().0;
        if index < base || index == u64::MAX {
            return Err(Error::Order {
                operation: "save_snapshot",
                index,
                lowest: base,
                highest: u64::MAX - 1,
            });
        }
        bounded("the snapshot", bytes.len(), MAX_SNAPSHOT_BYTES)?;
        let needed = (bytes.len() + 2 * FRAME_BYTES) as u64;
        if self.reserve.check(&self.files, needed).is_err() {
            // The snapshot frees the segments that it covers, so it may use the reserve.
            self.reserve.release(&self.files);
            self.reserve.check(&self.files, needed)?;
        }
        let written = snapshot::write(&self.files, index, term, bytes, needed);
        self.note(written)?;
        self.terms.compact(index, term);
        self.durable = self.terms.last().0;
        self.roll = Roll::Required;
        match self.settle() {
            // The snapshot is durable; the next change starts the segment.
            Ok(()) | Err(Error::Full { .. }) => Ok(()),
            Err(error) => Err(error),
        }
    }

    /// Starts a new segment if one is due, and removes what the snapshot covers.
    fn settle(&mut self) -> Result<(), Error> {
        self.check_usable()?;
        if self.roll == Roll::No || !self.pending.is_empty() {
            return Ok(());
        }
        let record = start(&self.terms, self.hard.as_deref());
        let sequence = self.active.sequence() + 1;
        let created = Active::create(&self.files, &mut self.reserve, sequence, &record);
        let next = match self.note(created) {
            Err(Error::Full { .. })
                if self.roll == Roll::Wanted && self.active.bytes() < GROWN_SEGMENT_BYTES =>
            {
                return Ok(());
            }
            created => created?,
        };
        let previous = std::mem::replace(&mut self.active, next);
        self.closed.push_back(Closed {
            sequence: previous.sequence(),
            bytes: previous.bytes(),
            highest: previous.highest(),
        });
        self.roll = Roll::No;
        let removed = self.remove_covered();
        self.note(removed)
    }

    /// Removes segments and snapshots that the newest snapshot covers, oldest first. Each removal is
    /// synced before the next, so that a crash never leaves a gap.
    fn remove_covered(&mut self) -> Result<(), Error> {
        let base = self.terms.base().0;
        let files = &self.files;
        while self
            .closed
            .front()
            .is_some_and(|closed| closed.highest <= base)
        {
            let path = files.segment(self.closed[0].sequence);
            files.fs.remove(&path).map_err(Error::io("remove", &path))?;
            self.closed.pop_front();
            sync_folder(files, &files.folder)?;
        }
        for index in files.list()?.snapshots {
            if index < base {
                let path = files.snapshot(index);
                files.fs.remove(&path).map_err(Error::io("remove", &path))?;
            }
        }
        Ok(())
    }

    fn push(&mut self, record: Record<'_>) {
        let mut bytes = Vec::new();
        record.encode(&mut bytes);
        match self.pending.back_mut() {
            Some(payload) if payload.len() + bytes.len() <= FRAME_BYTES => {
                payload.extend_from_slice(&bytes);
            }
            _ => self.pending.push_back(bytes),
        }
    }

    fn pending_bytes(&self) -> u64 {
        self.pending
            .iter()
            .map(|payload| payload.len() as u64)
            .sum()
    }

    fn check_usable(&self) -> Result<(), Error> {
        match &self.failure {
            None => Ok(()),
            Some((path, reason)) => Err(Error::SyncFailed {
                path: path.clone(),
                reason: reason.clone(),
            }),
        }
    }

    /// Remembers a failed sync for good: the system may have dropped the data, so a later sync that
    /// succeeds would prove nothing.
    fn note<T>(&mut self, result: Result<T, Error>) -> Result<T, Error> {
        if let Err(Error::SyncFailed { path, reason }) = &result {
            self.failure = Some((path.clone(), reason.clone()));
        }
        result
    }
}

fn start<'a>(terms: &Terms, hard: Option<&'a [u8]>) -> Record<'a> {
    Record::Start {
        base: terms.base(),
        last: terms.last(),
        hard,
    }
}

fn bounded(what: &'static str, bytes: usize, bound: usize) -> Result<(), Error> {
    if bytes > bound {
        return Err(Error::TooLarge {
            what,
            bytes: bytes as u64,
            bound: bound as u64,
        });
    }
    Ok(())
}

fn is_name(name: &str) -> bool {
    (1..=64).contains(&name.len())
        && name
            .bytes()
            .all(|b| b.is_ascii_lowercase() || b.is_ascii_digit() || b == b'-')
}

pub(super) fn sync_failed(path: &Path, error: &io::Error) -> Error {
    Error::SyncFailed {
        path: path.to_owned(),
        reason: error.to_string(),
    }
}

pub(super) fn sync_folder(files: &Files, path: &Path) -> Result<(), Error> {
    files
        .fs
        .sync_folder(path)
        .map_err(|error| sync_failed(path, &error))
}

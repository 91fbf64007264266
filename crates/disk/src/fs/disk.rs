use {
    super::{Fault, Loss},
    std::{
        collections::{BTreeMap, BTreeSet},
        io::{self, ErrorKind},
        path::{Path, PathBuf},
    },
};

/// Unit that survives a power cut as a whole or not at all.
const BLOCK_BYTES: usize = 512;

/// State of a [`super::Memory`].
#[derive(Debug, Default)]
pub struct Disk {
    inodes: Vec<Inode>,
    pub names: BTreeMap<PathBuf, usize>,
    durable_names: BTreeMap<PathBuf, usize>,
    /// Changes of names since they were last synced, oldest first.
    changes: Vec<Change>,
    pub folders: BTreeSet<PathBuf>,
    pub locks: BTreeSet<PathBuf>,
    pub capacity: Option<u64>,
    pub operations: u64,
    pub faults: BTreeMap<u64, Fault>,
    /// Counts restarts; files opened before the last one are closed.
    pub generation: u64,
    power_cut: bool,
}

#[derive(Clone, Debug, Default)]
struct Inode {
    content: Vec<u8>,
    durable: Vec<u8>,
    /// Whether the next sync writes a block, by its number.
    dirty: Vec<bool>,
}

#[derive(Clone, Debug)]
enum Change {
    Link(PathBuf, usize),
    Rename(PathBuf, PathBuf),
    Unlink(PathBuf),
}

impl Change {
    fn apply(&self, names: &mut BTreeMap<PathBuf, usize>) {
        match self {
            Change::Link(path, inode) => {
                names.insert(path.clone(), *inode);
            }
            Change::Rename(from, to) => {
                if let Some(inode) = names.remove(from) {
                    names.insert(to.clone(), inode);
                }
            }
            Change::Unlink(path) => {
                names.remove(path);
            }
        }
    }

    fn is_in(&self, folder: &Path) -> bool {
        match self {
            Change::Link(path, _) | Change::Rename(_, path) | Change::Unlink(path) => {
                path.parent() == Some(folder)
            }
        }
    }
}

impl Disk {
    /// Counts an operation; the error or short length that was injected for it.
    pub fn begin(&mut self) -> io::Result<Option<usize>> {
        let number = self.operations;
        self.operations += 1;
        let fault = self.faults.get(&number).copied();
        if fault == Some(Fault::PowerCut) {
            self.power_cut = true;
        }
        match fault {
            _ if self.power_cut => Err(ErrorKind::BrokenPipe.into()),
            Some(Fault::Error(kind)) => Err(kind.into()),
            Some(Fault::Short(len)) => Ok(Some(len)),
            _ => Ok(None),
        }
    }

    pub fn used(&self) -> u64 {
        self.names
            .values()
            .map(|inode| self.inodes[*inode].content.len() as u64)
            .sum()
    }

    pub fn list(&self, folder: &Path) -> Vec<String> {
        let files = self.names.keys().chain(&self.folders);
        files
            .filter(|path| path.parent() == Some(folder))
            .filter_map(|path| Some(path.file_name()?.to_string_lossy().into_owned()))
            .collect()
    }

    pub fn read(&self, path: &Path) -> io::Result<&[u8]> {
        let inode = self.names.get(path).ok_or(ErrorKind::NotFound)?;
        Ok(&self.inodes[*inode].content)
    }

    pub fn create(&mut self, path: &Path) -> usize {
        if let Some(inode) = self.names.get(path).copied() {
            self.truncate(inode, 0);
            return inode;
        }
        self.inodes.push(Inode::default());
        let inode = self.inodes.len() - 1;
        self.change(Change::Link(path.to_owned(), inode));
        inode
    }

    pub fn rename(&mut self, from: &Path, to: &Path) -> io::Result<()> {
        if !self.names.contains_key(from) {
            return Err(ErrorKind::NotFound.into());
        }
        self.change(Change::Rename(from.to_owned(), to.to_owned()));
        Ok(())
    }

    pub fn remove(&mut self, path: &Path) -> io::Result<()> {
        if !self.names.contains_key(path) {
            return Err(ErrorKind::NotFound.into());
        }
        self.change(Change::Unlink(path.to_owned()));
        Ok(())
    }

    fn change(&mut self, change: Change) {
        change.apply(&mut self.names);
        self.changes.push(change);
    }

    pub fn sync_folder(&mut self, folder: &Path) {
        let changes = std::mem::take(&mut self.changes);
        for change in changes {
            if change.is_in(folder) {
                change.apply(&mut self.durable_names);
            } else {
                self.changes.push(change);
            }
        }
    }

    pub fn append(&mut self, inode: usize, bytes: &[u8]) -> io::Result<()> {
        let free = self
            .capacity
            .map_or(u64::MAX, |capacity| capacity.saturating_sub(self.used()));
        let fits = bytes.len().min(usize::try_from(free).unwrap_or(usize::MAX));
        let inode = &mut self.inodes[inode];
        let from = inode.content.len();
        inode.content.extend_from_slice(&bytes[..fits]);
        inode.mark(from, from + fits);
        if fits < bytes.len() {
            return Err(ErrorKind::StorageFull.into());
        }
        Ok(())
    }

    pub fn rewrite(&mut self, inode: usize, bytes: &[u8]) {
        let inode = &mut self.inodes[inode];
        inode.content[..bytes.len()].copy_from_slice(bytes);
        inode.mark(0, bytes.len());
    }

    pub fn truncate(&mut self, inode: usize, len: u64) {
        let inode = &mut self.inodes[inode];
        inode.content.truncate(len as usize);
        inode.dirty.truncate((len as usize).div_ceil(BLOCK_BYTES));
    }

    pub fn sync(&mut self, inode: usize) {
        let inode = &mut self.inodes[inode];
        inode.durable.resize(inode.content.len(), 0);
        for (from, to) in inode.dirty_ranges() {
            inode.durable[from..to].copy_from_slice(&inode.content[from..to]);
        }
        inode.dirty.clear();
    }

    /// Forgets what a failed sync should have written.
    pub fn forget(&mut self, inode: usize, generation: u64) {
        if generation == self.generation && !self.power_cut {
            self.inodes[inode].dirty.clear();
        }
    }

    pub fn replace(&mut self, path: &Path, content: Option<Vec<u8>>) {
        let Some(content) = content else {
            self.names.remove(path);
            self.durable_names.remove(path);
            return;
        };
        self.inodes.push(Inode {
            durable: content.clone(),
            content,
            dirty: Vec::new(),
        });
        let inode = self.inodes.len() - 1;
        self.names.insert(path.to_owned(), inode);
        self.durable_names.insert(path.to_owned(), inode);
    }

    pub fn restart(&mut self, loss: Loss) {
        self.generation += 1;
        self.power_cut = false;
        self.faults.clear();
        self.locks.clear();
        let seed = match loss {
            Loss::Nothing => return,
            Loss::Unsynced => None,
            Loss::Some(seed) => Some(seed),
        };
        for (number, change) in self.changes.drain(..).enumerate() {
            // Changes of names reach the disk in any order until they are synced.
            if seed.is_some_and(|seed| mix(seed ^ (number as u64 + 1)).is_multiple_of(2)) {
                change.apply(&mut self.durable_names);
            }
        }
        self.names.clone_from(&self.durable_names);
        for (number, inode) in self.inodes.iter_mut().enumerate() {
            if let Some(seed) = seed {
                inode.write_some(mix(seed ^ ((number as u64) << 32)));
            }
            inode.content.clone_from(&inode.durable);
            inode.dirty.clear();
        }
    }
}

impl Inode {
    fn mark(&mut self, from: usize, to: usize) {
        let blocks = from / BLOCK_BYTES..to.div_ceil(BLOCK_BYTES);
        if !blocks.is_empty() {
            let len = self.dirty.len().max(blocks.end);
            self.dirty.resize(len, false);
            self.dirty[blocks].fill(true);
        }
    }

    /// Start and end of each dirty block.
    fn dirty_ranges(&self) -> Vec<(usize, usize)> {
        let end = self.content.len();
        let blocks = self.dirty.iter().enumerate();
        blocks
            .filter(|(_, dirty)| **dirty)
            .map(|(block, _)| (block * BLOCK_BYTES, end.min((block + 1) * BLOCK_BYTES)))
            .collect()
    }

    /// Makes some of the length and some of the blocks durable that were not synced.
    fn write_some(&mut self, seed: u64) {
        let (content, durable) = (self.content.len(), self.durable.len());
        let (low, high) = (content.min(durable), content.max(durable));
        let len = low + (mix(seed) % (high - low + 1) as u64) as usize;
        self.durable.resize(len, 0);
        for (from, to) in self.dirty_ranges() {
            let to = to.min(len);
            if from < to && mix(seed ^ (from as u64 + 1)).is_multiple_of(2) {
                self.durable[from..to].copy_from_slice(&self.content[from..to]);
            }
        }
    }
}

/// One step of SplitMix64: a number that looks random and depends only on the seed.
fn mix(seed: u64) -> u64 {
    let mut x = seed.wrapping_add(0x9e37_79b9_7f4a_7c15);
    x = (x ^ (x >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    x = (x ^ (x >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    x ^ (x >> 31)
}

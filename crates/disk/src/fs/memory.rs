use {
    super::{File, FileSystem, Guard, disk::Disk},
    std::{
        any::Any,
        io::{self, ErrorKind},
        path::{Path, PathBuf},
        sync::{Arc, Mutex, MutexGuard, PoisonError},
    },
};

/// A fault of one operation.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// The operation fails and has no effect, but for a sync: the blocks to be written count as
    /// clean, so that a later sync does not write them.
    Error(ErrorKind),
    /// Only this many bytes are written before the operation fails; no effect on other operations
    /// than a write.
    Short(usize),
    /// The power fails before the operation; it and all later ones fail until a restart.
    PowerCut,
}

/// What a restart loses.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Loss {
    /// Nothing, as when a process is killed.
    Nothing,
    /// Everything that was not synced.
    Unsynced,
    /// Some blocks, lengths and names that were not synced, chosen by the seed.
    Some(u64),
}

/// A file system in memory that keeps apart what is synced and what is not, and that fails as told.
///
/// Operations that change something are counted from 0, so that a fault can be placed at each.
/// Clones share the same files.
#[derive(Clone, Debug, Default)]
pub struct Memory {
    disk: Arc<Mutex<Disk>>,
}

impl Memory {
    /// Returns an empty file system of unbounded capacity.
    pub fn new() -> Memory {
        Memory::default()
    }

    /// Limits the bytes of all files; none means no limit.
    pub fn set_capacity(&self, bytes: Option<u64>) {
        self.disk().capacity = bytes;
    }

    /// Bytes of all files.
    pub fn used(&self) -> u64 {
        self.disk().used()
    }

    /// Number of changing operations so far.
    pub fn operations(&self) -> u64 {
        self.disk().operations
    }

    /// Lets an operation fail, by its number.
    pub fn inject(&self, operation: u64, fault: Fault) {
        self.disk().faults.insert(operation, fault);
    }

    /// Ends all open files and locks and returns to what survives.
    pub fn restart(&self, loss: Loss) {
        self.disk().restart(loss);
    }

    /// Paths of all files.
    pub fn files(&self) -> Vec<PathBuf> {
        self.disk().names.keys().cloned().collect()
    }

    /// Content of a file, if it exists.
    pub fn content(&self, path: impl AsRef<Path>) -> Option<Vec<u8>> {
        self.disk().read(path.as_ref()).ok().map(<[u8]>::to_vec)
    }

    /// Replaces a file by `content`, or removes it, durably and without counting an operation.
    pub fn replace(&self, path: impl AsRef<Path>, content: Option<Vec<u8>>) {
        self.disk().replace(path.as_ref(), content);
    }

    fn disk(&self) -> MutexGuard<'_, Disk> {
        self.disk.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn handle(&self, inode: usize, generation: u64) -> Box<dyn File> {
        Box::new(Handle {
            memory: self.clone(),
            inode,
            generation,
        })
    }
}

impl FileSystem for Memory {
    fn create_folder(&self, path: &Path) -> io::Result<()> {
        self.disk().folders.insert(path.to_owned());
        Ok(())
    }

    fn list(&self, path: &Path) -> io::Result<Vec<String>> {
        Ok(self.disk().list(path))
    }

    fn read(&self, path: &Path, bound: u64) -> io::Result<Vec<u8>> {
        let disk = self.disk();
        let content = disk.read(path)?;
        if content.len() as u64 > bound {
            return Err(ErrorKind::FileTooLarge.into());
        }
        Ok(content.to_vec())
    }

    fn create(&self, path: &Path) -> io::Result<Box<dyn File>> {
        let mut disk = self.disk();
        disk.begin()?;
        let inode = disk.create(path);
        Ok(self.handle(inode, disk.generation))
    }

    fn open(&self, path: &Path) -> io::Result<Box<dyn File>> {
        let disk = self.disk();
        let inode = *disk.names.get(path).ok_or(ErrorKind::NotFound)?;
        Ok(self.handle(inode, disk.generation))
    }

    fn rename(&self, from: &Path, to: &Path) -> io::Result<()> {
        let mut disk = self.disk();
        disk.begin()?;
        disk.rename(from, to)
    }

    fn remove(&self, path: &Path) -> io::Result<()> {
        let mut disk = self.disk();
        disk.begin()?;
        disk.remove(path)
    }

    fn sync_folder(&self, path: &Path) -> io::Result<()> {
        let mut disk = self.disk();
        disk.begin()?;
        disk.sync_folder(path);
        Ok(())
    }

    fn free_bytes(&self, _path: &Path) -> io::Result<u64> {
        let disk = self.disk();
        Ok(disk
            .capacity
            .map_or(u64::MAX, |capacity| capacity.saturating_sub(disk.used())))
    }

    fn lock(&self, path: &Path) -> io::Result<Option<Guard>> {
        let mut disk = self.disk();
        if !disk.locks.insert(path.to_owned()) {
            return Ok(None);
        }
        let lock: Box<dyn Any + Send + Sync> = Box::new(Lock {
            memory: self.clone(),
            path: path.to_owned(),
            generation: disk.generation,
        });
        Ok(Some(lock))
    }
}

struct Lock {
    memory: Memory,
    path: PathBuf,
    generation: u64,
}

impl Drop for Lock {
    fn drop(&mut self) {
        let mut disk = self.memory.disk();
        // A restart has ended the lock; its path may be locked anew.
        if disk.generation == self.generation {
            disk.locks.remove(&self.path);
        }
    }
}

struct Handle {
    memory: Memory,
    inode: usize,
    generation: u64,
}

impl Handle {
    fn begin(&self) -> io::Result<(MutexGuard<'_, Disk>, Option<usize>)> {
        let mut disk = self.memory.disk();
        if disk.generation != self.generation {
            return Err(ErrorKind::BrokenPipe.into());
        }
        let short = disk.begin()?;
        Ok((disk, short))
    }
}

impl File for Handle {
    fn append(&mut self, bytes: &[u8]) -> io::Result<()> {
        let (mut disk, short) = self.begin()?;
        match short {
            None => disk.append(self.inode, bytes),
            Some(len) => {
                disk.append(self.inode, &bytes[..len.min(bytes.len())])?;
                Err(ErrorKind::Other.into())
            }
        }
    }

    fn rewrite(&mut self, bytes: &[u8]) -> io::Result<()> {
        let (mut disk, _) = self.begin()?;
        disk.rewrite(self.inode, bytes);
        Ok(())
    }

    fn truncate(&mut self, len: u64) -> io::Result<()> {
        let (mut disk, _) = self.begin()?;
        disk.truncate(self.inode, len);
        Ok(())
    }

    fn sync(&mut self) -> io::Result<()> {
        if let Err(error) = self.begin().map(drop) {
            // The system forgets which blocks it failed to write.
            self.memory.disk().forget(self.inode, self.generation);
            return Err(error);
        }
        self.memory.disk().sync(self.inode);
        Ok(())
    }
}

use {
    super::{File, FileSystem, Guard},
    std::{
        fs::{self, OpenOptions, TryLockError},
        io::{self, Read, Seek, SeekFrom, Write},
        path::Path,
    },
};

/// The file system of the machine.
#[derive(Clone, Copy, Debug, Default)]
pub struct Real;

/// An open file whose position is at its end.
struct Open(fs::File);

impl File for Open {
    fn append(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.0.write_all(bytes)
    }

    fn rewrite(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.0.rewind()?;
        self.0.write_all(bytes)?;
        self.0.seek(SeekFrom::End(0)).map(drop)
    }

    fn truncate(&mut self, len: u64) -> io::Result<()> {
        self.0.set_len(len)?;
        self.0.seek(SeekFrom::End(0)).map(drop)
    }

    fn sync(&mut self) -> io::Result<()> {
        self.0.sync_data()
    }
}

impl FileSystem for Real {
    fn create_folder(&self, path: &Path) -> io::Result<()> {
        fs::create_dir_all(path)
    }

    fn list(&self, path: &Path) -> io::Result<Vec<String>> {
        fs::read_dir(path)?
            .map(|entry| Ok(entry?.file_name().to_string_lossy().into_owned()))
            .collect()
    }

    fn read(&self, path: &Path, bound: u64) -> io::Result<Vec<u8>> {
        let file = fs::File::open(path)?;
        let mut bytes = Vec::new();
        file.take(bound.saturating_add(1)).read_to_end(&mut bytes)?;
        if bytes.len() as u64 > bound {
            return Err(io::ErrorKind::FileTooLarge.into());
        }
        Ok(bytes)
    }

    fn create(&self, path: &Path) -> io::Result<Box<dyn File>> {
        Ok(Box::new(Open(fs::File::create(path)?)))
    }

    fn open(&self, path: &Path) -> io::Result<Box<dyn File>> {
        let mut file = OpenOptions::new().write(true).open(path)?;
        file.seek(SeekFrom::End(0))?;
        Ok(Box::new(Open(file)))
    }

    fn rename(&self, from: &Path, to: &Path) -> io::Result<()> {
        fs::rename(from, to)
    }

    fn remove(&self, path: &Path) -> io::Result<()> {
        fs::remove_file(path)
    }

    fn sync_folder(&self, path: &Path) -> io::Result<()> {
        fs::File::open(path)?.sync_all()
    }

    fn free_bytes(&self, path: &Path) -> io::Result<u64> {
        let status = rustix::fs::statvfs(path)?;
        Ok(status.f_bavail.saturating_mul(status.f_frsize))
    }

    fn lock(&self, path: &Path) -> io::Result<Option<Guard>> {
        let file = OpenOptions::new()
            .create(true)
            .truncate(false)
            .write(true)
            .open(path)?;
        match file.try_lock() {
            Ok(()) => Ok(Some(Box::new(file))),
            Err(TryLockError::WouldBlock) => Ok(None),
            Err(TryLockError::Error(error)) => Err(error),
        }
    }
}

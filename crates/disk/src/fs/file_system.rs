use {
    super::File,
    std::{any::Any, io, path::Path},
};

/// Holds a lock until it is dropped.
pub type Guard = Box<dyn Any + Send + Sync>;

/// The operations that a data folder needs.
pub trait FileSystem: Send + Sync {
    /// Creates a folder and its parents; succeeds if it exists.
    fn create_folder(&self, path: &Path) -> io::Result<()>;

    /// Names in a folder, in no particular order.
    fn list(&self, path: &Path) -> io::Result<Vec<String>>;

    /// Reads a file of at most `bound` bytes; a longer one is `ErrorKind::FileTooLarge`.
    fn read(&self, path: &Path, bound: u64) -> io::Result<Vec<u8>>;

    /// Creates an empty file, or empties an existing one.
    fn create(&self, path: &Path) -> io::Result<Box<dyn File>>;

    /// Opens an existing file for appending.
    fn open(&self, path: &Path) -> io::Result<Box<dyn File>>;

    /// Renames a file, replacing the target if it exists.
    fn rename(&self, from: &Path, to: &Path) -> io::Result<()>;

    /// Removes a file.
    fn remove(&self, path: &Path) -> io::Result<()>;

    /// Makes creations, renames and removals in a folder durable.
    fn sync_folder(&self, path: &Path) -> io::Result<()>;

    /// Bytes that an unprivileged process can still write below `path`.
    fn free_bytes(&self, path: &Path) -> io::Result<u64>;

    /// Locks a file, creating it if needed; none if somebody else holds the lock.
    fn lock(&self, path: &Path) -> io::Result<Option<Guard>>;
}

use std::io;

/// A file that is open for appending.
pub trait File: Send {
    /// Writes all of `bytes` at the end. After an error any part of them may have been written.
    fn append(&mut self, bytes: &[u8]) -> io::Result<()>;

    /// Writes `bytes` over the start of the file, which is at least as long.
    fn rewrite(&mut self, bytes: &[u8]) -> io::Result<()>;

    /// Cuts the file to `len` bytes.
    fn truncate(&mut self, len: u64) -> io::Result<()>;

    /// Makes the content durable.
    fn sync(&mut self) -> io::Result<()>;
}

use {
    super::{
        bounds::{MIN_FREE_BYTES, RESERVE_BYTES},
        files::Files,
    },
    crate::Error,
    std::io::{self, ErrorKind},
};

/// Size of one write of the reserve file.
const BLOCK_BYTES: usize = 1 << 20;

/// Length after which the content of the reserve file repeats.
const PATTERN_BYTES: u32 = 4 << 10;

/// A file that occupies space which records that were accepted can use when the disk is full.
pub struct Reserve {
    present: bool,
}

impl Reserve {
    pub fn new(present: bool) -> Reserve {
        Reserve { present }
    }

    /// Checks that `bytes` more can be accepted, and restores the reserve if it was used.
    pub fn admit(&mut self, files: &Files, bytes: u64) -> Result<(), Error> {
        let mut needed = MIN_FREE_BYTES + bytes;
        if !self.present {
            needed += RESERVE_BYTES;
        }
        self.check(files, needed)?;
        if !self.present {
            self.create(files, needed)?;
        }
        Ok(())
    }

    /// Checks that `needed` bytes are free.
    pub fn check(&self, files: &Files, needed: u64) -> Result<(), Error> {
        let free = free(files)?;
        if free < needed {
            return Err(Error::Full {
                path: files.folder.clone(),
                free,
                needed,
            });
        }
        Ok(())
    }

    /// Removes the reserve file; false if there is none.
    pub fn release(&mut self, files: &Files) -> bool {
        if !self.present {
            return false;
        }
        self.present = false;
        log::warn!("event=reserve_released folder={}", files.folder.display());
        files.fs.remove(&files.reserve()).is_ok()
    }

    fn create(&mut self, files: &Files, needed: u64) -> Result<(), Error> {
        let path = files.reserve();
        let temporary = Files::temporary(&path);
        // A pattern that file systems neither compress away nor store as a hole.
        let pattern: Vec<u8> = (0..PATTERN_BYTES)
            .map(|i| (i.wrapping_mul(2_654_435_761) >> 13) as u8)
            .collect();
        let block = pattern.repeat(BLOCK_BYTES / pattern.len());
        let write = || -> io::Result<()> {
            let mut file = files.fs.create(&temporary)?;
            for _ in 0..RESERVE_BYTES / BLOCK_BYTES as u64 {
                file.append(&block)?;
            }
            file.sync()?;
            files.fs.rename(&temporary, &path)
        };
        match write() {
            Ok(()) => {
                self.present = true;
                Ok(())
            }
            Err(error) => {
                // The next attempt writes the file again, so a leftover does no harm.
                let _ = files.fs.remove(&temporary);
                if is_full(&error) {
                    Err(full(files, needed))
                } else {
                    Err(Error::io("write", path)(error))
                }
            }
        }
    }
}

fn free(files: &Files) -> Result<u64, Error> {
    files
        .fs
        .free_bytes(&files.folder)
        .map_err(Error::io("read the free space of", &files.folder))
}

/// Tells whether an error means that the disk or the quota is used up.
pub fn is_full(error: &io::Error) -> bool {
    matches!(
        error.kind(),
        ErrorKind::StorageFull | ErrorKind::QuotaExceeded
    )
}

/// The error for a write that found no space.
pub fn full(files: &Files, needed: u64) -> Error {
    Error::Full {
        path: files.folder.clone(),
        free: free(files).unwrap_or(0),
        needed,
    }
}

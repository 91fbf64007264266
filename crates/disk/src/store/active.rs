use {
    super::{
        files::Files,
        loaded::Found,
        reserve::{Reserve, full, is_full},
        store::{sync_failed, sync_folder},
    },
    crate::{
        Error,
        format::{HEADER_BYTES, Kind, Record, frame},
        fs::File,
    },
    std::{io, path::PathBuf},
};

/// The segment that is being written.
pub struct Active {
    file: Box<dyn File>,
    path: PathBuf,
    sequence: u64,
    salt: u32,
    bytes: u64,
    highest: u64,
}

impl Active {
    /// Creates a segment with its start record, durable when this returns.
    pub fn create(
        files: &Files,
        reserve: &mut Reserve,
        sequence: u64,
        record: &Record<'_>,
    ) -> Result<Active, Error> {
        let header = files.header(Kind::Segment, sequence);
        let mut payload = Vec::new();
        record.encode(&mut payload);
        let mut bytes = header.encode().to_vec();
        bytes.extend(frame::encode(header.salt(), HEADER_BYTES as u64, &payload));
        let path = files.segment(sequence);
        let write = || -> io::Result<_> {
            let mut file = files.fs.create(&path)?;
            file.append(&bytes)?;
            Ok(file)
        };
        let written = match write() {
            Err(error) if is_full(&error) && reserve.release(files) => write(),
            written => written,
        };
        let mut file = written.map_err(|error| {
            // Opening removes an incomplete newest segment, so a leftover does no harm.
            let _ = files.fs.remove(&path);
            match is_full(&error) {
                true => full(files, bytes.len() as u64),
                false => Error::io("write", &path)(error),
            }
        })?;
        file.sync().map_err(|error| sync_failed(&path, &error))?;
        sync_folder(files, &files.folder)?;
        Ok(Active {
            file,
            path,
            sequence,
            salt: header.salt(),
            bytes: bytes.len() as u64,
            highest: 0,
        })
    }

    /// Opens the newest segment and removes a torn frame at its end.
    ///
    /// The segment is written again in place. After a sync that failed in an earlier process, the
    /// system may show bytes that are not on the disk and take them for written; only a new write
    /// makes it write them.
    pub fn open(files: &Files, found: &Found) -> Result<Active, Error> {
        let path = files.segment(found.sequence);
        let mut file = files.fs.open(&path).map_err(Error::io("open", &path))?;
        if found.bytes > found.intact {
            log::warn!(
                "event=torn_record_removed file={} offset={} bytes={}",
                path.display(),
                found.intact,
                found.bytes - found.intact
            );
            file.truncate(found.intact)
                .map_err(Error::io("truncate", &path))?;
        }
        let bytes = files
            .fs
            .read(&path, found.intact)
            .map_err(Error::io("read", &path))?;
        file.rewrite(&bytes).map_err(Error::io("write", &path))?;
        file.sync().map_err(|error| sync_failed(&path, &error))?;
        Ok(Active {
            file,
            path,
            sequence: found.sequence,
            salt: files.header(Kind::Segment, found.sequence).salt(),
            bytes: found.intact,
            highest: found.highest,
        })
    }

    pub fn sequence(&self) -> u64 {
        self.sequence
    }

    pub fn bytes(&self) -> u64 {
        self.bytes
    }

    /// Highest index of any entry in the segment.
    pub fn highest(&self) -> u64 {
        self.highest
    }

    /// Notes that an entry with `index` is in the segment.
    pub fn cover(&mut self, index: u64) {
        self.highest = self.highest.max(index);
    }

    /// Writes a frame and makes it durable.
    pub fn write(
        &mut self,
        files: &Files,
        reserve: &mut Reserve,
        payload: &[u8],
    ) -> Result<(), Error> {
        let bytes = frame::encode(self.salt, self.bytes, payload);
        if let Err(error) = self.append(&bytes)? {
            if !is_full(&error) {
                return Err(Error::io("write", &self.path)(error));
            }
            reserve.release(files);
            if let Err(error) = self.append(&bytes)? {
                return Err(match is_full(&error) {
                    true => full(files, bytes.len() as u64),
                    false => Error::io("write", &self.path)(error),
                });
            }
        }
        self.file
            .sync()
            .map_err(|error| sync_failed(&self.path, &error))?;
        self.bytes += bytes.len() as u64;
        Ok(())
    }

    /// Writes at the end; after a failed write, removes what was written of it.
    fn append(&mut self, bytes: &[u8]) -> Result<io::Result<()>, Error> {
        let Err(error) = self.file.append(bytes) else {
            return Ok(Ok(()));
        };
        match self.file.truncate(self.bytes) {
            Ok(()) => Ok(Err(error)),
            // A part of the frame stays in the file, so nothing may follow it.
            Err(truncation) => Err(sync_failed(&self.path, &truncation)),
        }
    }
}

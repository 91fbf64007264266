use {
    super::{
        Snapshot,
        bounds::MAX_SNAPSHOT_BYTES,
        files::Files,
        loaded::{self, damaged},
        reserve::{full, is_full},
        store::{sync_failed, sync_folder},
    },
    crate::{
        Error,
        format::{HEADER_BYTES, Kind, Reader, frame},
    },
    std::io,
};

/// Index and term before the content.
const PREFIX_BYTES: usize = 16;

/// Writes a snapshot, durable when this returns. `needed` is the free space named when there is
/// too little.
pub fn write(files: &Files, index: u64, term: u64, bytes: &[u8], needed: u64) -> Result<(), Error> {
    let path = files.snapshot(index);
    let temporary = Files::temporary(&path);
    let header = files.header(Kind::Snapshot, index);
    let first = prefix(index, term);
    let frame = frame::prefix(header.salt(), HEADER_BYTES as u64, &[&first, bytes]);
    let write = || -> io::Result<_> {
        let mut file = files.fs.create(&temporary)?;
        for part in [&header.encode()[..], &frame, &first, bytes] {
            file.append(part)?;
        }
        Ok(file)
    };
    let mut file = write().map_err(|error| {
        // Opening removes a leftover, so a failure to remove it now does no harm.
        let _ = files.fs.remove(&temporary);
        match is_full(&error) {
            true => full(files, needed),
            false => Error::io("write", &temporary)(error),
        }
    })?;
    file.sync()
        .map_err(|error| sync_failed(&temporary, &error))?;
    files
        .fs
        .rename(&temporary, &path)
        .map_err(Error::io("rename", &temporary))?;
    sync_folder(files, &files.folder)
}

/// Reads the snapshot at `index`.
pub fn read(files: &Files, index: u64) -> Result<Snapshot, Error> {
    let path = files.snapshot(index);
    let overhead = HEADER_BYTES + frame::PREFIX_BYTES + PREFIX_BYTES;
    let mut bytes = loaded::read(files, &path, (MAX_SNAPSHOT_BYTES + overhead) as u64)?;
    let header = files.header(Kind::Snapshot, index);
    if !header.check(&bytes, &path)? {
        return Err(damaged(&path, 0, "the header is damaged"));
    }
    let term = frame::decode(header.salt(), &bytes, HEADER_BYTES)
        .filter(|payload| HEADER_BYTES + frame::PREFIX_BYTES + payload.len() == bytes.len())
        .and_then(|payload| {
            let mut reader = Reader::new(payload);
            (reader.u64()? == index).then(|| reader.u64())?
        })
        .ok_or_else(|| damaged(&path, HEADER_BYTES as u64, "the content is damaged"))?;
    bytes.drain(..overhead);
    Ok(Snapshot { index, term, bytes })
}

/// The parts of a snapshot's payload before its content.
fn prefix(index: u64, term: u64) -> [u8; PREFIX_BYTES] {
    let mut prefix = [0; PREFIX_BYTES];
    prefix[..8].copy_from_slice(&index.to_le_bytes());
    prefix[8..].copy_from_slice(&term.to_le_bytes());
    prefix
}

use {
    super::{
        Contents, Snapshot,
        bounds::{MAX_SEGMENT_BYTES, MAX_SNAPSHOT_BYTES, MAX_START_BYTES},
        files::{Files, Listing},
        replay::Replay,
        segment::{self, Segment},
    },
    crate::{
        Error,
        format::{HEADER_BYTES, Kind, Record, frame},
    },
    std::{io::ErrorKind, path::Path},
};

/// Index and term before the content of a snapshot.
const SNAPSHOT_PREFIX_BYTES: usize = 16;

/// A segment as found on the disk.
#[derive(Clone, Copy, Debug)]
pub struct Found {
    pub sequence: u64,
    /// Length up to which the file is intact.
    pub intact: u64,
    /// Length of the file.
    pub bytes: u64,
    /// Highest index of any entry in it.
    pub highest: u64,
}

/// A store as found on the disk.
pub struct Loaded {
    pub contents: Contents,
    pub segments: Vec<Found>,
    /// Sequence number of a newest segment whose creation was interrupted.
    pub incomplete: Option<u64>,
    /// Whether the newest segment starts from an older snapshot than the newest.
    pub outdated: bool,
}

impl Loaded {
    pub fn read(files: &Files, listing: &Listing) -> Result<Loaded, Error> {
        let snapshot = match listing.snapshots.last() {
            Some(&index) => Some(read_snapshot(files, index)?),
            None => None,
        };
        let mut replay = Replay::default();
        let mut segments = Vec::new();
        let mut incomplete = None;
        for (position, &sequence) in listing.segments.iter().enumerate() {
            let path = files.segment(sequence);
            if position > 0 && sequence != listing.segments[position - 1] + 1 {
                return Err(damaged(&path, 0, "the segment before it is missing"));
            }
            let newest = position + 1 == listing.segments.len();
            match read_segment(files, sequence, newest, &mut replay)? {
                Some(found) => segments.push(found),
                None => incomplete = Some(sequence),
            }
        }
        let first_start = incomplete == Some(1) || listing.segments.is_empty();
        if segments.is_empty() && (snapshot.is_some() || !first_start) {
            return Err(damaged(&files.folder, 0, "the log is missing"));
        }
        replay
            .finish(snapshot.as_ref())
            .map_err(|detail| damaged(&files.folder, 0, &detail))?;
        Ok(Loaded {
            outdated: replay.is_outdated(),
            contents: Contents {
                hard: replay.hard,
                snapshot,
                entries: replay.entries,
            },
            segments,
            incomplete,
        })
    }
}

fn damaged(path: &Path, offset: u64, detail: &str) -> Error {
    Error::Damaged {
        path: path.to_owned(),
        offset,
        detail: detail.into(),
    }
}

fn read(files: &Files, path: &Path, bound: u64) -> Result<Vec<u8>, Error> {
    files
        .fs
        .read(path, bound)
        .map_err(|error| match error.kind() {
            ErrorKind::FileTooLarge => {
                damaged(path, bound, "the file is longer than any written one")
            }
            _ => Error::io("read", path)(error),
        })
}

fn read_snapshot(files: &Files, index: u64) -> Result<Snapshot, Error> {
    let path = files.snapshot(index);
    let overhead = HEADER_BYTES + frame::PREFIX_BYTES + SNAPSHOT_PREFIX_BYTES;
    let mut bytes = read(files, &path, (MAX_SNAPSHOT_BYTES + overhead) as u64)?;
    let header = files.header(Kind::Snapshot, index);
    if !header.check(&bytes, &path)? {
        return Err(damaged(&path, 0, "the header is damaged"));
    }
    let term = frame::decode(header.salt(), &bytes, HEADER_BYTES)
        .filter(|payload| HEADER_BYTES + frame::PREFIX_BYTES + payload.len() == bytes.len())
        .and_then(|payload| {
            let mut reader = crate::format::Reader::new(payload);
            (reader.u64()? == index).then(|| reader.u64())?
        })
        .ok_or_else(|| damaged(&path, HEADER_BYTES as u64, "the content is damaged"))?;
    bytes.drain(..overhead);
    Ok(Snapshot { index, term, bytes })
}

/// Applies a segment; none if its creation was interrupted.
fn read_segment(
    files: &Files,
    sequence: u64,
    newest: bool,
    replay: &mut Replay,
) -> Result<Option<Found>, Error> {
    let path = files.segment(sequence);
    let file = read(files, &path, MAX_SEGMENT_BYTES)?;
    let header = files.header(Kind::Segment, sequence);
    let (payloads, intact) = match Segment::read(&file, &header, &path, newest)? {
        Segment::Intact(payloads, intact) => (payloads, intact),
        Segment::Incomplete if file.len() > MAX_START_BYTES => {
            return Err(damaged(&path, 0, "the whole segment is damaged"));
        }
        Segment::Incomplete => return Ok(None),
    };
    let mut found = Found {
        sequence,
        intact,
        bytes: file.len() as u64,
        highest: 0,
    };
    let mut offset = HEADER_BYTES as u64;
    for (position, payload) in payloads.iter().enumerate() {
        let records = segment::records(payload)
            .ok_or_else(|| damaged(&path, offset, "an intact frame has unknown records"))?;
        for (place, record) in records.into_iter().enumerate() {
            if let Record::Entry { index, .. } = record {
                found.highest = found.highest.max(index);
            }
            if matches!(record, Record::Start { .. }) != (position == 0 && place == 0) {
                return Err(damaged(&path, offset, "a start record is out of place"));
            }
            replay
                .apply(record)
                .map_err(|detail| damaged(&path, offset, &detail))?;
        }
        offset += (frame::PREFIX_BYTES + payload.len()) as u64;
    }
    Ok(Some(found))
}

/// The parts of a snapshot's payload before its content.
pub fn snapshot_prefix(index: u64, term: u64) -> [u8; SNAPSHOT_PREFIX_BYTES] {
    let mut prefix = [0; SNAPSHOT_PREFIX_BYTES];
    prefix[..8].copy_from_slice(&index.to_le_bytes());
    prefix[8..].copy_from_slice(&term.to_le_bytes());
    prefix
}

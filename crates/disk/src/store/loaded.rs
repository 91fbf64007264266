use {
    super::{
        Contents,
        bounds::{MAX_LOG_BYTES, MAX_SEGMENT_BYTES, MAX_START_BYTES},
        files::{Files, Listing},
        replay::Replay,
        segment::{self, Segment},
        snapshot,
    },
    crate::{
        Error,
        format::{HEADER_BYTES, Kind, Record, frame},
    },
    std::{io::ErrorKind, path::Path},
};

/// Largest log on the disk: appends stop at `MAX_LOG_BYTES`, the last one included.
const MAX_LOADED_BYTES: u64 = MAX_LOG_BYTES + MAX_SEGMENT_BYTES;

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
            Some(&index) => Some(snapshot::read(files, index)?),
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
            if segments
                .iter()
                .map(|found: &Found| found.bytes)
                .sum::<u64>()
                > MAX_LOADED_BYTES
            {
                return Err(damaged(&path, 0, "the log is longer than any written one"));
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

pub fn damaged(path: &Path, offset: u64, detail: &str) -> Error {
    Error::Damaged {
        path: path.to_owned(),
        offset,
        detail: detail.into(),
    }
}

/// Reads a file that no writer makes longer than `bound`.
pub fn read(files: &Files, path: &Path, bound: u64) -> Result<Vec<u8>, Error> {
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

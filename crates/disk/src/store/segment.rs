use {
    crate::{
        Error,
        format::{HEADER_BYTES, Header, Reader, Record, frame},
    },
    std::path::Path,
};

/// A segment file that was read.
pub enum Segment<'a> {
    /// The payloads of its frames and the length up to which the file is intact.
    Intact(Vec<&'a [u8]>, u64),
    /// The file was not completely created.
    Incomplete,
}

impl<'a> Segment<'a> {
    /// Splits a file into frames. Only the newest segment may end in a torn frame.
    pub fn read(
        file: &'a [u8],
        header: &Header,
        path: &Path,
        newest: bool,
    ) -> Result<Segment<'a>, Error> {
        let salt = header.salt();
        let damaged = |offset: usize, detail: &str| Error::Damaged {
            path: path.to_owned(),
            offset: offset as u64,
            detail: detail.into(),
        };
        if !header.check(file, path)? {
            return if !newest || frame::any_after(salt, file, 0) {
                Err(damaged(
                    0,
                    "the header is damaged and the log continues after it",
                ))
            } else {
                Ok(Segment::Incomplete)
            };
        }
        let mut offset = HEADER_BYTES;
        let mut payloads = Vec::new();
        while offset < file.len() {
            let Some(payload) = frame::decode(salt, file, offset) else {
                if !newest || frame::any_after(salt, file, offset + 1) {
                    return Err(damaged(
                        offset,
                        "a record is damaged and the log continues after it",
                    ));
                }
                break;
            };
            payloads.push(payload);
            offset += frame::PREFIX_BYTES + payload.len();
        }
        match payloads.is_empty() {
            true if newest => Ok(Segment::Incomplete),
            true => Err(damaged(
                offset,
                "the segment is empty and the log continues after it",
            )),
            false => Ok(Segment::Intact(payloads, offset as u64)),
        }
    }
}

/// The records of a frame; none if its intact payload is not a list of records.
pub fn records(payload: &[u8]) -> Option<Vec<Record<'_>>> {
    let mut reader = Reader::new(payload);
    let mut records = Vec::new();
    while !reader.is_empty() {
        records.push(Record::decode(&mut reader)?);
    }
    Some(records)
}

use {super::Reader, crate::Error, std::path::Path};

/// Version of the format that this program writes and reads.
pub const VERSION: u8 = 1;

/// Size of a header on the disk.
pub const HEADER_BYTES: usize = 32;

const MAGIC: &[u8; 6] = b"TVDISK";

/// What a file contains.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[repr(u8)]
pub enum Kind {
    /// The identity of the data folder.
    Incarnation = 1,
    /// A segment of a log.
    Segment = 2,
    /// A snapshot.
    Snapshot = 3,
    /// The proof that a group's store was created.
    Created = 4,
}

/// The first bytes of every file. All fields are known before the file is read, so that a file of
/// another folder, group or position is recognised.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Header {
    /// What the file contains.
    pub kind: Kind,
    /// Identity of the data folder.
    pub incarnation: u64,
    /// CRC-32 of the group's name.
    pub group: u32,
    /// Sequence number of a segment or index of a snapshot.
    pub number: u64,
}

impl Header {
    /// The header as bytes.
    pub fn encode(&self) -> [u8; HEADER_BYTES] {
        let mut bytes = [0; HEADER_BYTES];
        bytes[..6].copy_from_slice(MAGIC);
        bytes[6] = self.kind as u8;
        bytes[7] = VERSION;
        bytes[8..16].copy_from_slice(&self.incarnation.to_le_bytes());
        bytes[16..20].copy_from_slice(&self.group.to_le_bytes());
        bytes[20..28].copy_from_slice(&self.number.to_le_bytes());
        let crc = crc32fast::hash(&bytes[..28]);
        bytes[28..].copy_from_slice(&crc.to_le_bytes());
        bytes
    }

    /// A value that differs between files, mixed into the checksum of every frame.
    pub fn salt(&self) -> u32 {
        crc32fast::hash(&self.encode())
    }

    /// Checks that `file` starts with this header; false if its first bytes are short or damaged.
    ///
    /// An intact header that says something else is an error, since no crash can cause it.
    pub fn check(&self, file: &[u8], path: &Path) -> Result<bool, Error> {
        if file.get(..HEADER_BYTES) == Some(&self.encode()) {
            return Ok(true);
        }
        let Some(found) = Fields::read(file) else {
            return Ok(false);
        };
        if found.version != VERSION {
            return Err(Error::Version {
                path: path.to_owned(),
                found: found.version,
            });
        }
        let damaged = |offset, detail: String| {
            Err(Error::Damaged {
                path: path.to_owned(),
                offset,
                detail,
            })
        };
        if found.kind != self.kind as u8 {
            return damaged(6, format!("the file has kind {}", found.kind));
        }
        if found.incarnation != self.incarnation {
            return damaged(
                8,
                format!(
                    "the file belongs to incarnation {:016x}, this folder is {:016x}",
                    found.incarnation, self.incarnation
                ),
            );
        }
        if found.group != self.group {
            return damaged(16, "the file belongs to another group".into());
        }
        damaged(
            20,
            format!(
                "the file has number {}, its name says otherwise",
                found.number
            ),
        )
    }
}

/// The fields of an intact header.
struct Fields {
    kind: u8,
    version: u8,
    incarnation: u64,
    group: u32,
    number: u64,
}

impl Fields {
    fn read(file: &[u8]) -> Option<Fields> {
        let mut reader = Reader::new(file.get(..HEADER_BYTES)?);
        if reader.bytes(6)? != MAGIC {
            return None;
        }
        let fields = Fields {
            kind: reader.u8()?,
            version: reader.u8()?,
            incarnation: reader.u64()?,
            group: reader.u32()?,
            number: reader.u64()?,
        };
        (reader.u32()? == crc32fast::hash(&file[..28])).then_some(fields)
    }
}

/// Reads the incarnation from an intact header of `kind`.
pub fn incarnation(file: &[u8], kind: Kind) -> Option<(u8, u64)> {
    let fields = Fields::read(file)?;
    (fields.kind == kind as u8).then_some((fields.version, fields.incarnation))
}

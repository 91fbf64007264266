use super::Reader;

const START: u8 = 1;
const ENTRY: u8 = 2;
const TRUNCATE: u8 = 3;
const HARD: u8 = 4;

/// One change of a log. A frame carries the records of one sync.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Record<'a> {
    /// State before the segment; the first record of every segment.
    Start {
        /// Index and term up to which a snapshot covers the log.
        base: (u64, u64),
        /// Index and term of the last entry.
        last: (u64, u64),
        /// The hard state, if one was set.
        hard: Option<&'a [u8]>,
    },
    /// An entry at the end of the log.
    Entry {
        /// Its index.
        index: u64,
        /// Its term.
        term: u64,
        /// Its content.
        bytes: &'a [u8],
    },
    /// Removal of all entries from this index.
    Truncate(u64),
    /// A new hard state.
    Hard(&'a [u8]),
}

impl<'a> Record<'a> {
    /// Adds the record to `payload`.
    pub fn encode(&self, payload: &mut Vec<u8>) {
        match *self {
            Record::Start { base, last, hard } => {
                payload.push(START);
                for number in [base.0, base.1, last.0, last.1] {
                    payload.extend_from_slice(&number.to_le_bytes());
                }
                payload.push(hard.is_some().into());
                block(payload, hard.unwrap_or_default());
            }
            Record::Entry { index, term, bytes } => {
                payload.push(ENTRY);
                payload.extend_from_slice(&index.to_le_bytes());
                payload.extend_from_slice(&term.to_le_bytes());
                block(payload, bytes);
            }
            Record::Truncate(from) => {
                payload.push(TRUNCATE);
                payload.extend_from_slice(&from.to_le_bytes());
            }
            Record::Hard(bytes) => {
                payload.push(HARD);
                block(payload, bytes);
            }
        }
    }

    /// Takes the next record; none if the bytes are not a record.
    pub fn decode(reader: &mut Reader<'a>) -> Option<Record<'a>> {
        Some(match reader.u8()? {
            START => {
                let base = (reader.u64()?, reader.u64()?);
                let last = (reader.u64()?, reader.u64()?);
                let present = reader.u8()? != 0;
                let hard = reader.block()?;
                Record::Start {
                    base,
                    last,
                    hard: present.then_some(hard),
                }
            }
            ENTRY => Record::Entry {
                index: reader.u64()?,
                term: reader.u64()?,
                bytes: reader.block()?,
            },
            TRUNCATE => Record::Truncate(reader.u64()?),
            HARD => Record::Hard(reader.block()?),
            _ => return None,
        })
    }
}

fn block(payload: &mut Vec<u8>, bytes: &[u8]) {
    payload.extend_from_slice(&(bytes.len() as u32).to_le_bytes());
    payload.extend_from_slice(bytes);
}

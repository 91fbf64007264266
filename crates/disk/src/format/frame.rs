//! Frames: a mark, the length and the CRC-32 of a payload, then the payload.
//!
//! The checksum covers the salt of the file and the offset of the frame, so that bytes of another
//! place, or a copy of a frame inside a payload, are never taken for a frame.

use super::Reader;

/// Bytes before the payload.
pub const PREFIX_BYTES: usize = 12;

/// Marks the start of a frame, so that a search passes over other bytes quickly.
const MARK: [u8; 4] = [0xf5, b'T', b'V', 0xa7];

/// A search computes checksums over at most this many times the size of the file. Only bytes made
/// for the purpose reach this bound.
const MAX_SEARCH_FACTOR: usize = 64;

/// The bytes before a payload that consists of `parts`, for `offset` in the file with `salt`.
pub fn prefix(salt: u32, offset: u64, parts: &[&[u8]]) -> [u8; PREFIX_BYTES] {
    let len = parts.iter().map(|part| part.len()).sum::<usize>() as u32;
    let mut prefix = [0; PREFIX_BYTES];
    prefix[..4].copy_from_slice(&MARK);
    prefix[4..8].copy_from_slice(&len.to_le_bytes());
    prefix[8..].copy_from_slice(&checksum(salt, offset, len, parts).to_le_bytes());
    prefix
}

/// The payload as a frame for `offset` in the file with `salt`.
pub fn encode(salt: u32, offset: u64, payload: &[u8]) -> Vec<u8> {
    let mut frame = Vec::with_capacity(PREFIX_BYTES + payload.len());
    frame.extend_from_slice(&prefix(salt, offset, &[payload]));
    frame.extend_from_slice(payload);
    frame
}

/// The payload of the frame at `offset`; none if there is no intact frame.
pub fn decode(salt: u32, file: &[u8], offset: usize) -> Option<&[u8]> {
    let (payload, crc) = candidate(file, offset)?;
    is_intact(salt, offset, payload, crc).then_some(payload)
}

/// Tells whether an intact frame starts anywhere at or after `from`.
pub fn any_after(salt: u32, file: &[u8], from: usize) -> bool {
    let mut budget = file.len().saturating_mul(MAX_SEARCH_FACTOR);
    for offset in from..file.len().saturating_sub(PREFIX_BYTES - 1) {
        let Some((payload, crc)) = candidate(file, offset) else {
            continue;
        };
        if is_intact(salt, offset, payload, crc) {
            return true;
        }
        match budget.checked_sub(payload.len()) {
            Some(rest) => budget = rest,
            None => return true,
        }
    }
    false
}

fn candidate(file: &[u8], offset: usize) -> Option<(&[u8], u32)> {
    let mut reader = Reader::new(file.get(offset..)?);
    if reader.bytes(MARK.len())? != MARK {
        return None;
    }
    let len = reader.u32()?;
    let crc = reader.u32()?;
    Some((reader.bytes(len as usize)?, crc))
}

fn is_intact(salt: u32, offset: usize, payload: &[u8], crc: u32) -> bool {
    checksum(salt, offset as u64, payload.len() as u32, &[payload]) == crc
}

fn checksum(salt: u32, offset: u64, len: u32, parts: &[&[u8]]) -> u32 {
    let mut hasher = crc32fast::Hasher::new();
    hasher.update(&salt.to_le_bytes());
    hasher.update(&offset.to_le_bytes());
    hasher.update(&len.to_le_bytes());
    for part in parts {
        hasher.update(part);
    }
    hasher.finalize()
}

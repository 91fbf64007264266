//! Bounds on everything that a store reads or writes.

/// Largest content of an entry. Commands are notes, jobs and first answers of at most 64 KiB; this
/// leaves room for a note that lists every account.
pub const MAX_ENTRY_BYTES: usize = 4 << 20;

/// Largest hard state: a term, a vote and a member list.
pub const MAX_HARD_BYTES: usize = 64 << 10;

/// Largest snapshot. An instance may use 32 MB for control; the bound is twice that, so that a
/// store never refuses what an instance can hold.
pub const MAX_SNAPSHOT_BYTES: usize = 64 << 20;

/// A frame is closed when the next record would exceed this size.
pub const FRAME_BYTES: usize = 4 << 20;

/// Records that may wait for a sync.
pub const MAX_PENDING_BYTES: usize = 16 << 20;

/// A segment is closed when it reaches this size.
pub const SEGMENT_BYTES: u64 = 4 << 20;

/// A segment that cannot be closed because the disk is full may grow to this size.
pub const GROWN_SEGMENT_BYTES: u64 = 8 << 20;

/// Largest segment file: a grown one and everything that may wait for a sync, with its framing.
pub const MAX_SEGMENT_BYTES: u64 = 32 << 20;

/// Largest size of all segments. Snapshots are due each 8 MiB; a log of this size means that they
/// fail.
pub const MAX_LOG_BYTES: u64 = 256 << 20;

/// Size of the reserve file. It holds the largest frame, so that accepted records can be written
/// even when another program fills the disk.
pub const RESERVE_BYTES: u64 = 8 << 20;

/// Free bytes that must remain beyond a new entry.
pub const MIN_FREE_BYTES: u64 = 16 << 20;

/// Largest file that a crash can leave while a segment is created: a header and a start record.
pub const MAX_START_BYTES: usize = MAX_HARD_BYTES + 128;

use std::time::Duration;

/// Tunable values of a replica. All replicas of a group must use the same ones, but for the term
/// interval.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Settings {
    /// Interval between the heartbeats of a leader.
    pub heartbeat_interval: Duration,
    /// Shortest time without a message of a leader after which a follower starts an election, and
    /// the time for which it grants no vote after such a message.
    pub election_timeout_min: Duration,
    /// Longest time without a message of a leader after which a follower starts an election.
    pub election_timeout_max: Duration,
    /// Length of the lease as a percentage of `election_timeout_min`; must be below 100. The rest
    /// allows for clocks that run at different rates.
    pub lease_percent: u32,
    /// Terms in which this replica leads are multiples of this, at least 1, so that the numbers
    /// between them are free for other uses.
    pub term_interval: u64,
    /// Most entry bytes in one message; a larger entry is sent alone.
    pub max_batch_bytes: usize,
    /// Number of unacknowledged entry bytes from which on a follower gets no further entries.
    pub max_inflight_bytes: usize,
    /// Most bytes of entries that a leader has appended and not yet applied; proposals beyond that
    /// are refused.
    pub max_uncommitted_bytes: usize,
    /// Most bytes of a snapshot in one message, from 1 to 64 KiB; other values are clamped.
    pub snapshot_chunk_bytes: usize,
    /// Number of entries before a snapshot that stay in memory, so that a follower that is a little
    /// behind needs no snapshot.
    pub retained_entries: u64,
}

impl Default for Settings {
    fn default() -> Settings {
        Settings {
            heartbeat_interval: Duration::from_millis(150),
            election_timeout_min: Duration::from_millis(900),
            election_timeout_max: Duration::from_millis(1800),
            lease_percent: 90,
            term_interval: 1,
            max_batch_bytes: 64 * 1024,
            max_inflight_bytes: 512 * 1024,
            max_uncommitted_bytes: 8 * 1024 * 1024,
            snapshot_chunk_bytes: 64 * 1024,
            retained_entries: 512,
        }
    }
}

impl Settings {
    /// Time for which a leader may answer reads after it started a heartbeat round that a majority
    /// has acknowledged.
    pub fn lease_duration(&self) -> Duration {
        self.election_timeout_min * self.lease_percent / 100
    }

    /// The first term after the given one in which a replica may lead.
    pub fn next_term(&self, term: u64) -> u64 {
        (term / self.term_interval + 1) * self.term_interval
    }

    /// Time without an acknowledgement after which entries or snapshot chunks may be sent again.
    pub fn resend_timeout(&self) -> Duration {
        self.heartbeat_interval * 3
    }
}

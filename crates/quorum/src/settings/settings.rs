use std::time::Duration;

/// Tunable values of a replica; equal in the whole group.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Settings {
    /// Interval between heartbeats of a leader.
    pub heartbeat_interval: Duration,
    /// Shortest time without contact after which a follower starts an election, and the time for which
    /// it grants no vote after contact with a leader.
    pub election_timeout_min: Duration,
    /// Longest time without contact after which a follower starts an election.
    pub election_timeout_max: Duration,
    /// Lease as a percentage of `election_timeout_min`. The rest is the margin for clocks that run at
    /// different rates.
    pub lease_percent: u32,
    /// Largest number of entry bytes in one message; one larger entry is sent alone.
    pub max_batch_bytes: usize,
    /// Largest number of unacknowledged entry bytes on the way to one follower.
    pub max_inflight_bytes: usize,
    /// Largest number of uncommitted entry bytes before proposals are refused.
    pub max_uncommitted_bytes: usize,
    /// Largest part of a snapshot in one message.
    pub snapshot_chunk_bytes: usize,
    /// Entries kept in memory behind a snapshot, so that a follower that is a little behind needs
    /// no snapshot.
    pub retained_entries: u64,
}

impl Default for Settings {
    fn default() -> Settings {
        Settings {
            heartbeat_interval: Duration::from_millis(150),
            election_timeout_min: Duration::from_millis(900),
            election_timeout_max: Duration::from_millis(1800),
            lease_percent: 90,
            max_batch_bytes: 64 * 1024,
            max_inflight_bytes: 512 * 1024,
            max_uncommitted_bytes: 8 * 1024 * 1024,
            snapshot_chunk_bytes: 64 * 1024,
            retained_entries: 512,
        }
    }
}

impl Settings {
    /// Time for which a majority's acknowledgement lets a leader answer reads, from the moment at
    /// which the acknowledged message was sent.
    pub fn lease_duration(&self) -> Duration {
        self.election_timeout_min * self.lease_percent / 100
    }

    /// Time without progress after which entries or chunks are sent again.
    pub fn resend_timeout(&self) -> Duration {
        self.heartbeat_interval * 3
    }
}

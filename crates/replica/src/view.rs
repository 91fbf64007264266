use {quorum::Members, std::time::Instant};

/// State of a replica and its group as of the replica's last step.
#[derive(Clone, Debug, Default)]
pub struct View {
    /// The leader's id, if known.
    pub leader: Option<u64>,
    /// Since when this replica leads with a valid lease; `None` if it does not.
    pub leading_since: Option<Instant>,
    /// When this replica's lease as leader was last known to be valid; `None` if it does not lead.
    pub lease_confirmed_at: Option<Instant>,
    /// Current term; 0 before the replica has heard of a leader or candidate.
    pub term: u64,
    /// Index of the last committed entry.
    pub commit_index: u64,
    /// Index of the last log entry.
    pub last_index: u64,
    /// Index of the last entry applied to the state machine.
    pub applied_index: u64,
    /// Voters, learners and, during a change, the outgoing voters.
    pub members: Members,
    /// Whether the replica's thread has ended, on request or because of a failure.
    pub has_ended: bool,
    /// Why the replica stopped or waits for disk space; `None` while it runs normally.
    pub stop_reason: Option<String>,
}

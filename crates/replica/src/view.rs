use {quorum::Members, std::time::Instant};

/// What a replica knew of its group after its last step.
#[derive(Clone, Debug, Default)]
pub struct View {
    /// The leader's id, if known.
    pub leader: Option<u64>,
    /// Since when this replica leads with a valid lease, if it does.
    pub leading_since: Option<Instant>,
    /// When the lease of this leader was last known to be valid.
    pub lease_confirmed_at: Option<Instant>,
    /// Current term.
    pub term: u64,
    /// Last committed index.
    pub commit_index: u64,
    /// Last entry of the log.
    pub last_index: u64,
    /// Last applied index.
    pub applied_index: u64,
    /// Voters, learners and the list being replaced.
    pub members: Members,
    /// Whether the replica's thread has ended.
    pub has_ended: bool,
    /// Why the replica stopped, if it did.
    pub stop_reason: Option<String>,
}

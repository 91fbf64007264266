use {super::LeaderState, crate::Member};

/// Role of a replica in the current term.
#[derive(Debug)]
pub(super) enum Role {
    /// Follows a leader or waits for one.
    Follower,
    /// Asks whether it would get votes; holds the replicas that agreed, itself included.
    PreCandidate(Vec<Member>),
    /// Asks for votes; holds the replicas that voted for it, itself included.
    Candidate(Vec<Member>),
    /// Leads the group.
    Leader(Box<LeaderState>),
}

use {super::LeaderState, crate::Member};

/// What a replica does in its term.
#[derive(Debug)]
pub(super) enum Role {
    /// Follows a leader or waits for one.
    Follower,
    /// Asks whether votes would be granted; holds the replicas that agreed.
    PreCandidate(Vec<Member>),
    /// Asks for votes; holds the replicas that granted theirs.
    Candidate(Vec<Member>),
    /// Leads.
    Leader(Box<LeaderState>),
}

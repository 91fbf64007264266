use {
    super::Member,
    serde::{Deserialize, Serialize},
};

/// The member list of a group.
///
/// While `outgoing` is not empty the list is *joint*: votes and commits need a majority of `voters`
/// and a majority of `outgoing`.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Members {
    /// Replicas that vote and count towards a majority.
    pub voters: Vec<Member>,
    /// Voters of the previous list while a change of voters is in progress; empty otherwise.
    pub outgoing: Vec<Member>,
    /// Replicas that receive the log but neither vote nor count towards a majority.
    pub learners: Vec<Member>,
}

impl Members {
    /// Returns a list of voters without learners.
    pub fn new(voters: impl IntoIterator<Item = Member>) -> Members {
        Members {
            voters: voters.into_iter().collect(),
            ..Members::default()
        }
    }

    /// Whether the replica is a voter, also of the previous list.
    pub fn is_voter(&self, member: Member) -> bool {
        self.voters.contains(&member) || self.outgoing.contains(&member)
    }

    /// Whether `learners` contains a member with this id and incarnation.
    pub fn is_learner(&self, member: Member) -> bool {
        self.learners.contains(&member)
    }

    /// Whether a change of voters is in progress.
    pub fn is_joint(&self) -> bool {
        !self.outgoing.is_empty()
    }

    /// All voters and learners, each once.
    pub fn all(&self) -> Vec<Member> {
        let mut all = self.voters.clone();
        for member in self.outgoing.iter().chain(&self.learners) {
            if !all.contains(member) {
                all.push(*member);
            }
        }
        all
    }

    /// The highest value that a majority of each voter set has reached, where `value` gives that of
    /// one member. `None` without voters.
    pub fn reached_by_majority<T: Ord>(&self, value: impl Fn(Member) -> T) -> Option<T> {
        let reached = |set: &[Member]| {
            let mut values: Vec<T> = set.iter().map(|member| value(*member)).collect();
            values.sort_unstable_by(|a, b| b.cmp(a));
            values.into_iter().nth(set.len() / 2)
        };
        let incoming = reached(&self.voters)?;
        Some(match reached(&self.outgoing) {
            Some(outgoing) => incoming.min(outgoing),
            None => incoming,
        })
    }
}

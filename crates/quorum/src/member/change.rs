use {
    super::{Member, Members, Refusal},
    serde::{Deserialize, Serialize},
};

/// A membership change.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Change {
    /// Add a learner. It replaces a learner with the same id and another incarnation.
    Join(Member),
    /// Make a learner a voter and remove every other member with its id. Refused until the learner
    /// holds all entries that were committed when the change was proposed.
    Promote(Member),
    /// Make a learner a voter in place of a voter that is gone, so that the number of voters stays
    /// the same. Refused in the same cases as [`Change::Promote`].
    Replace {
        /// Becomes a voter.
        learner: Member,
        /// Leaves the group.
        voter: Member,
    },
    /// Remove a voter or learner.
    Remove(Member),
}

impl Change {
    /// Returns the member list after the change, which is joint if the voters differ.
    pub fn apply(&self, members: &Members) -> Result<Members, Refusal> {
        let mut next = members.clone();
        match *self {
            Change::Join(member) => {
                if members.all().contains(&member) {
                    return Err(Refusal::AlreadyMember);
                }
                next.learners.retain(|learner| learner.id != member.id);
                next.learners.push(member);
            }
            Change::Replace { learner, voter } => {
                if !members.is_learner(learner) || !members.voters.contains(&voter) {
                    return Err(Refusal::UnknownMember);
                }
                next.learners.retain(|member| *member != learner);
                next.voters.retain(|member| *member != voter);
                next.voters.push(learner);
            }
            Change::Promote(member) => {
                if members.voters.contains(&member) {
                    return Err(Refusal::AlreadyMember);
                }
                if !members.is_learner(member) {
                    return Err(Refusal::UnknownMember);
                }
                next.learners.retain(|learner| learner.id != member.id);
                next.voters.retain(|voter| voter.id != member.id);
                next.voters.push(member);
            }
            Change::Remove(member) => {
                if !members.all().contains(&member) {
                    return Err(Refusal::UnknownMember);
                }
                next.learners.retain(|learner| *learner != member);
                next.voters.retain(|voter| *voter != member);
                if next.voters.is_empty() {
                    return Err(Refusal::LastVoter);
                }
            }
        }
        if next.voters != members.voters {
            next.outgoing = members.voters.clone();
        }
        Ok(next)
    }
}

use {
    indexmap::IndexMap,
    quorum::{Change, Member, Members},
    std::time::{Duration, Instant},
};

/// Number of voters, and the times without a greeting by which [`next_change`] judges an instance.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Number of voters to which the group grows: 2n + 1 to tolerate the loss of n at once. A
    /// larger group keeps its voters.
    pub voters: usize,
    /// Time without a greeting after which an instance does not count as present, so that it
    /// neither joins nor becomes a voter. Longer than two missed greetings.
    pub present_timeout: Duration,
    /// Time without a greeting after which a voter is replaced by a present learner. While no
    /// learner is present, the voter stays a member however long it is away.
    pub replace_timeout: Duration,
    /// Time without a greeting after which a learner is removed.
    pub remove_timeout: Duration,
}

impl Settings {
    /// Settings for a deployment that tolerates the loss of `losses` control instances and their
    /// disks at once.
    pub fn tolerating(losses: usize) -> Settings {
        Settings {
            voters: 2 * losses + 1,
            present_timeout: Duration::from_millis(1500),
            replace_timeout: Duration::from_millis(2000),
            remove_timeout: Duration::from_secs(60),
        }
    }
}

/// The latest greeting of an instance.
#[derive(Clone, Copy, Debug)]
pub struct Contact {
    /// Id of the instance and incarnation of its disk.
    pub member: Member,
    /// When the leader received the greeting.
    pub received_at: Instant,
}

/// The next change of the member list that the leader `me` should propose; none while a change of
/// voters is in progress. `contacts` holds the latest greeting of every other instance, by id.
///
/// The first of these that is due:
///
/// 1. A present instance that is not a member joins as a learner. An instance with a new disk is
///    not a member.
/// 2. A present learner replaces the voter with the same id, whose disk is gone.
/// 3. A present learner becomes a voter if there are too few.
/// 4. A present learner replaces a voter that no longer sends greetings. This is one joint change,
///    so that the number of voters never falls.
/// 5. A learner that no longer sends greetings is removed.
pub fn next_change(
    me: Member,
    members: &Members,
    contacts: &IndexMap<u64, Contact>,
    settings: &Settings,
    now: Instant,
) -> Option<Change> {
    if members.is_joint() {
        return None;
    }
    let received_within = |member: Member, limit: Duration| {
        member == me
            || contacts.get(&member.id).is_some_and(|contact| {
                contact.member == member
                    && now.saturating_duration_since(contact.received_at) < limit
            })
    };
    let is_present = |member: Member| received_within(member, settings.present_timeout);
    let new_contact = contacts
        .values()
        .find(|contact| is_present(contact.member) && !members.all().contains(&contact.member));
    if let Some(contact) = new_contact {
        return Some(Change::Join(contact.member));
    }
    let present_learners: Vec<Member> = members
        .learners
        .iter()
        .copied()
        .filter(|learner| is_present(*learner))
        .collect();
    let same_id_learner = present_learners
        .iter()
        .find(|learner| members.voters.iter().any(|voter| voter.id == learner.id));
    if let Some(learner) = same_id_learner {
        return Some(Change::Promote(*learner));
    }
    if let Some(learner) = present_learners.first() {
        if members.voters.len() < settings.voters {
            return Some(Change::Promote(*learner));
        }
        let absent_voter = members
            .voters
            .iter()
            .find(|voter| !received_within(**voter, settings.replace_timeout));
        if let Some(voter) = absent_voter {
            return Some(Change::Replace {
                learner: *learner,
                voter: *voter,
            });
        }
    }
    let expired_learner = members
        .learners
        .iter()
        .find(|learner| !received_within(**learner, settings.remove_timeout));
    expired_learner.map(|learner| Change::Remove(*learner))
}

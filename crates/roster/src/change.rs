use {
    indexmap::IndexMap,
    quorum::{Change, Member, Members},
    std::time::{Duration, Instant},
};

/// Bounds of the decisions.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Number of voters that the deployment needs: twice what may be lost at once, and one.
    pub voters: usize,
    /// Silence after which an instance does not count as present. Longer than two missed greetings.
    pub present_timeout: Duration,
    /// Silence after which a voter is replaced, if another instance is ready to take its place. Without one it
    /// keeps its place however long it is away.
    pub replace_timeout: Duration,
    /// Silence after which a learner is forgotten.
    pub remove_timeout: Duration,
}

impl Settings {
    /// The settings of a deployment that may lose this many instances with a disk at once.
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
    /// Its id and disk.
    pub member: Member,
    /// When it arrived.
    pub received_at: Instant,
}

/// The next change of the member list, if one is due. `contacts` holds the latest greeting of each instance but the
/// leader `me`.
///
/// A replaced disk joins as a learner and takes the place of its predecessor. A new instance takes the place of a
/// silent voter in one joint change, so that the number of voters never falls.
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
    let heard_within = |member: Member, limit: Duration| {
        member == me
            || contacts.get(&member.id).is_some_and(|contact| {
                contact.member == member
                    && now.saturating_duration_since(contact.received_at) < limit
            })
    };
    let is_fresh = |member: Member| heard_within(member, settings.present_timeout);
    let newcomer = contacts
        .values()
        .find(|contact| is_fresh(contact.member) && !members.all().contains(&contact.member));
    if let Some(contact) = newcomer {
        return Some(Change::Join(contact.member));
    }
    let ready: Vec<Member> = members
        .learners
        .iter()
        .copied()
        .filter(|learner| is_fresh(*learner))
        .collect();
    let successor = ready
        .iter()
        .find(|learner| members.voters.iter().any(|voter| voter.id == learner.id));
    if let Some(learner) = successor {
        return Some(Change::Promote(*learner));
    }
    if let Some(learner) = ready.first() {
        if members.voters.len() < settings.voters {
            return Some(Change::Promote(*learner));
        }
        let silent = members
            .voters
            .iter()
            .find(|voter| !heard_within(**voter, settings.replace_timeout));
        if let Some(voter) = silent {
            return Some(Change::Replace {
                learner: *learner,
                voter: *voter,
            });
        }
    }
    let gone = members
        .learners
        .iter()
        .find(|learner| !heard_within(**learner, settings.remove_timeout));
    gone.map(|learner| Change::Remove(*learner))
}

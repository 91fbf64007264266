//! Membership changes and recovery from a lost quorum.

mod group;

use {
    group::{Group, entry, member},
    quorum::{
        Change, Event, HardState, Member, Members, Node, Outcome, PersistentState, Refusal,
        Settings, recover_lost_quorum,
    },
    std::time::Duration,
};

const SECOND: Duration = Duration::from_secs(1);

/// Guards against a learner that is promoted before it holds the log, a promotion that is committed
/// without a majority of the old voters, and a group that does not survive the next loss.
#[test]
fn replaces_a_disk() {
    let mut group = Group::new(Settings::default());
    let leader = group.wait_for_leader();
    let at = (leader + 1) % 3;
    let new = Member {
        id: at as u64 + 1,
        incarnation: 99,
    };
    group.nodes[at] = Node::new(
        new.id,
        Settings::default(),
        PersistentState::empty(99),
        9,
        group.now,
    );
    group.isolated.insert(at);
    group.propose(leader, [vec![1]]);
    let join = Event::ChangeMembers {
        request_id: 1,
        change: Change::Join(new),
    };
    assert!(matches!(
        group.request(leader, join),
        Some(Outcome::Committed { .. })
    ));
    let promote = |request_id| Event::ChangeMembers {
        request_id,
        change: Change::Promote(new),
    };
    let outcome = group.request(leader, promote(2));
    assert!(
        matches!(
            outcome,
            Some(Outcome::Refused {
                reason: Refusal::NotCaughtUp { .. }
            })
        ),
        "{outcome:?}"
    );
    group.isolated.clear();
    group.run_for(SECOND);
    // The old disk is gone, so a majority of the old voters needs the other follower.
    let other = 3 - leader - at;
    group.isolated.insert(other);
    assert_eq!(group.request(leader, promote(3)), None);
    group.isolated.clear();
    group.run_for(SECOND);
    let last_outcome = group.outcomes.last();
    assert!(
        matches!(last_outcome, Some((3, Outcome::Committed { .. }))),
        "{last_outcome:?}"
    );
    let voters = &group.nodes[leader].members().voters;
    assert!(voters.contains(&new) && voters.len() == 3, "{voters:?}");
    // The group must survive the loss of another member right after the replacement.
    group.isolated.insert(leader);
    group.run_for(4 * SECOND);
    assert!(
        group
            .nodes
            .iter()
            .enumerate()
            .any(|(at, node)| at != leader && node.is_leader())
    );
}

/// Guards against a group that cannot grow from a single bootstrapped replica.
#[test]
fn grows_from_one() {
    let first = PersistentState::bootstrap(11, Members::new([member(1)]));
    let disks = vec![
        first,
        PersistentState::empty(12),
        PersistentState::empty(13),
    ];
    let mut group = Group::start(Settings::default(), disks);
    assert_eq!(group.wait_for_leader(), 0);
    group.propose(0, [vec![1]]);
    for id in [2, 3] {
        for change in [Change::Join(member(id)), Change::Promote(member(id))] {
            group.step(
                0,
                Event::ChangeMembers {
                    request_id: id,
                    change,
                },
            );
            group.run_for(SECOND);
            let last_outcome = group.outcomes.last();
            assert!(
                matches!(last_outcome, Some((_, Outcome::Committed { .. }))),
                "{change:?}: {last_outcome:?}"
            );
        }
    }
    group.isolated.insert(0);
    group.run_for(4 * SECOND);
    assert!(group.nodes[1].is_leader() || group.nodes[2].is_leader());
    assert!(group.applied.iter().all(|applied| *applied == [vec![1]]));
}

/// Guards against a second membership change that starts before the first one is committed.
#[test]
fn allows_one_change_at_a_time() {
    let mut group = Group::new(Settings::default());
    let leader = group.wait_for_leader();
    group.isolated.extend([(leader + 1) % 3, (leader + 2) % 3]);
    let join = |id| Event::ChangeMembers {
        request_id: id,
        change: Change::Join(member(id)),
    };
    assert_eq!(group.request(leader, join(4)), None);
    let refused = Outcome::Refused {
        reason: Refusal::ChangeInProgress,
    };
    assert_eq!(group.request(leader, join(5)), Some(refused));
}

/// Guards against a replica that cannot elect itself after the recovery of a lost quorum, or loses
/// its log.
#[test]
fn recovers_alone() {
    let mut disk = PersistentState::bootstrap(11, Members::new((1..=3).map(member)));
    disk.hard = HardState {
        term: 3,
        vote: Some(member(2)),
    };
    disk.entries.push(entry(2, 3));
    let (hard_state, list) = recover_lost_quorum(1, &disk);
    disk.hard = hard_state;
    disk.entries.push(list);
    let mut group = Group::start(Settings::default(), vec![disk]);
    assert_eq!(group.wait_for_leader(), 0);
    assert_eq!(group.applied[0], [vec![3; 8]]);
    assert_eq!(group.nodes[0].members().voters, [member(1)]);
}

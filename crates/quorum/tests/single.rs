//! Reactions of one replica to single messages.

mod group;

use {
    group::{entry, member},
    quorum::{Body, Effect, Entry, Event, Members, Message, Node, PersistentState, Settings},
    std::time::{Duration, Instant},
};

/// Replica 1 of a group of three. The tests write the messages of the others.
struct ReplicaUnderTest {
    node: Node,
    now: Instant,
}

impl ReplicaUnderTest {
    fn new(entries: &[Entry]) -> ReplicaUnderTest {
        let now = Instant::now();
        let mut disk = PersistentState::bootstrap(11, Members::new((1..=3).map(member)));
        disk.entries.extend_from_slice(entries);
        ReplicaUnderTest {
            node: Node::new(1, Settings::default(), disk, 1, now),
            now,
        }
    }

    /// Delivers a message and returns the bodies of the replies.
    fn receive(&mut self, from: u64, term: u64, body: Body) -> Vec<Body> {
        let message = Message {
            term,
            sender: 10 + from,
            target: 11,
            body,
        };
        let effects = self.node.step(Event::Message { from, message }, self.now);
        effects.into_iter().filter_map(sent_body).collect()
    }

    fn append(&mut self, term: u64, prev: (u64, u64), entries: Vec<Entry>) -> Vec<Effect> {
        let (prev_index, prev_term) = prev;
        let body = Body::Append {
            prev_index,
            prev_term,
            entries,
            commit: 0,
            round: 1,
        };
        let message = Message {
            term,
            sender: 12,
            target: 11,
            body,
        };
        self.node
            .step(Event::Message { from: 2, message }, self.now)
    }

    fn synced(&mut self, index: u64) -> Option<u64> {
        let effects = self.node.step(Event::Synced { index }, self.now);
        effects
            .into_iter()
            .filter_map(sent_body)
            .find_map(|body| match body {
                Body::AppendReply { matched, .. } => Some(matched),
                _ => None,
            })
    }
}

fn sent_body(effect: Effect) -> Option<Body> {
    match effect {
        Effect::Send { message, .. } => Some(message.body),
        _ => None,
    }
}

/// Guards against the election of a new leader during the lease of the old one.
#[test]
fn refuses_votes_while_a_lease_may_hold() {
    let mut replica = ReplicaUnderTest::new(&[]);
    let (last_index, last_term) = (9, 9);
    let vote = Body::Vote {
        last_index,
        last_term,
        transfer: false,
    };
    let pre_vote = Body::PreVote {
        next_term: 8,
        last_index,
        last_term,
    };
    let denied = [Body::PreVoteReply {
        next_term: 8,
        granted: false,
    }];
    let granted = [Body::PreVoteReply {
        next_term: 8,
        granted: true,
    }];
    // The first round tests the time after the start, the second the time after a heartbeat.
    for _ in 0..2 {
        replica.now += Duration::from_millis(899);
        assert_eq!(replica.receive(3, 8, vote.clone()), []);
        assert_eq!(replica.receive(3, 7, pre_vote.clone()), denied);
        replica.receive(
            2,
            7,
            Body::Heartbeat {
                commit: 0,
                round: 1,
            },
        );
    }
    replica.now += Duration::from_millis(900);
    assert_eq!(replica.receive(3, 7, pre_vote), granted);
    assert_eq!(
        replica.receive(3, 8, vote),
        [Body::VoteReply { granted: true }]
    );
}

/// Guards against committing an entry of an earlier term that a later leader may still overwrite.
#[test]
fn commits_old_terms_only_with_its_own() {
    let mut replica = ReplicaUnderTest::new(&[entry(2, 1), entry(3, 2)]);
    replica.now += Duration::from_secs(2);
    replica.node.step(Event::Tick, replica.now);
    replica.receive(
        2,
        2,
        Body::PreVoteReply {
            next_term: 3,
            granted: true,
        },
    );
    replica.receive(2, 3, Body::VoteReply { granted: true });
    assert_eq!(replica.node.leader(), Some(1));
    replica.node.step(Event::Synced { index: 4 }, replica.now);
    replica.receive(
        2,
        3,
        Body::AppendReply {
            matched: 3,
            round: 1,
        },
    );
    assert_eq!(replica.node.commit_index(), 0);
    replica.receive(
        2,
        3,
        Body::AppendReply {
            matched: 4,
            round: 1,
        },
    );
    assert_eq!(replica.node.commit_index(), 4);
}

/// Guards against a `Synced` event of overwritten entries that acknowledges their replacements.
#[test]
fn late_sync_does_not_cover_new_entries() {
    let mut replica = ReplicaUnderTest::new(&[]);
    replica.append(1, (1, 0), vec![entry(2, 1), entry(3, 1)]);
    let effects = replica.append(2, (1, 0), vec![entry(2, 2), entry(3, 2)]);
    assert!(
        matches!(
            effects.last(),
            Some(Effect::Persist {
                truncate: Some(2),
                ..
            })
        ),
        "{effects:?}"
    );
    assert_eq!(
        replica.synced(3),
        Some(1),
        "the first write was overwritten"
    );
    assert_eq!(replica.synced(3), Some(3));
}

/// Guards against numbers near the maximum of `u64` in a message: sums with them overflow and end
/// the replica's thread, and such a term leaves no higher one for an election.
#[test]
fn ignores_numbers_that_no_group_reaches() {
    let mut replica = ReplicaUnderTest::new(&[]);
    let append = |prev_index, prev_term, round| Body::Append {
        prev_index,
        prev_term,
        entries: vec![Entry {
            index: u64::MAX,
            term: 1,
            payload: quorum::Payload::Empty,
        }],
        commit: 0,
        round,
    };
    for body in [
        append(u64::MAX, 1, 1),
        append(0, u64::MAX, 1),
        append(0, 0, u64::MAX),
        Body::Heartbeat {
            commit: u64::MAX,
            round: 1,
        },
        Body::ChunkReply {
            index: 1,
            offset: u64::MAX,
            round: 1,
        },
    ] {
        assert_eq!(replica.receive(2, 1, body), []);
    }
    let heartbeat = Body::Heartbeat {
        commit: 0,
        round: 1,
    };
    assert_eq!(replica.receive(2, u64::MAX, heartbeat), []);
    assert_eq!(replica.node.term(), 0);
}

/// Guards against a second election before the first heartbeat of a new leader arrives: of five
/// replicas that started together, another candidate collected pre-votes 10 ms after the election
/// from replicas that had just voted, and deposed the leader with its higher term.
#[test]
fn refuses_pre_votes_just_after_a_vote() {
    let mut replica = ReplicaUnderTest::new(&[]);
    replica.now += Duration::from_millis(1000);
    let (last_index, last_term) = (9, 9);
    let vote = Body::Vote {
        last_index,
        last_term,
        transfer: false,
    };
    assert_eq!(
        replica.receive(2, 8, vote),
        [Body::VoteReply { granted: true }]
    );
    let pre_vote = Body::PreVote {
        next_term: 9,
        last_index,
        last_term,
    };
    let answer = |granted| {
        [Body::PreVoteReply {
            next_term: 9,
            granted,
        }]
    };
    replica.now += Duration::from_millis(10);
    assert_eq!(replica.receive(3, 8, pre_vote.clone()), answer(false));
    // If the winner stays silent, votes are granted again by the time at which this replica could
    // start an election itself.
    replica.now += Duration::from_millis(890);
    assert_eq!(replica.receive(3, 8, pre_vote), answer(true));
}

//! One replica on its disk: what it applies, what it shows, and what it survives.

use {
    control::{
        group::{Group, Setup},
        peers::Peers,
        state::{Command, State},
    },
    model::clock::System,
    proptest::{prelude::*, test_runner::RngSeed},
    quorum::{Body, Entry, Member, Members, Message, Payload, Settings},
    std::{
        sync::Arc,
        thread,
        time::{Duration, Instant},
    },
    tempfile::TempDir,
    wire::Verdict,
};

/// Far above what any condition needs, so that a slow machine does not change the verdict.
const LIMIT: Duration = Duration::from_secs(60);

struct Replica {
    group: Group,
    _folder: disk::Folder,
    _temporary: Option<TempDir>,
}

fn replica() -> Replica {
    let temporary = TempDir::new().unwrap();
    let folder = disk::Folder::open(temporary.path()).unwrap();
    replica_on(folder, Some(temporary))
}

fn replica_on(folder: disk::Folder, temporary: Option<TempDir>) -> Replica {
    let address = "127.0.0.1:0".parse().unwrap();
    let setup = Setup {
        name: "north".into(),
        id: 1,
        settings: Settings::default(),
        clock: Arc::new(System),
        peers: Peers::bind(1, address, [], Duration::from_secs(2)).unwrap(),
    };
    let group = Group::spawn(&folder, setup).unwrap();
    Replica {
        group,
        _folder: folder,
        _temporary: temporary,
    }
}

fn until(what: &str, satisfied: impl Fn() -> bool) {
    let start = Instant::now();
    while !satisfied() {
        assert!(start.elapsed() < LIMIT, "not seen: {what}");
        thread::sleep(Duration::from_millis(5));
    }
}

fn drain(worker: &str, drained: bool) -> Command {
    Command::DrainWorker {
        worker: worker.into(),
        drained,
    }
}

/// Guards against entries applied again on top of a snapshot that arrives in the same round: the state
/// would hold what the snapshot had already undone, and the applied index would go back.
#[test]
fn a_snapshot_after_entries_of_the_same_round_replaces_them() {
    let replica = replica();
    let own = replica.group.member().incarnation;
    let leader = Member {
        id: 2,
        incarnation: 77,
    };
    let members = Members::new([leader]);
    let message = |body| {
        postcard::to_stdvec(&Message {
            term: 1,
            sender: 77,
            target: own,
            body,
        })
        .unwrap()
    };
    let append = |prev_index, entries, commit, round| Body::Append {
        prev_index,
        prev_term: u64::from(prev_index > 0),
        entries,
        commit,
        round,
    };
    let entry = |index, payload| Entry {
        index,
        term: 1,
        payload,
    };
    let entries = vec![
        entry(1, Payload::Members(members.clone())),
        entry(2, Payload::Command(drain("w1", true).encode())),
    ];
    replica
        .group
        .deliver(2, vec![message(append(0, entries, 0, 1))]);
    until("the entries", || replica.group.view().last_index == 2);

    let data = State::default().save().unwrap();
    let chunk = Body::Chunk {
        index: 5,
        term: 1,
        members,
        total: data.len() as u64,
        checksum: crc32fast::hash(&data),
        offset: 0,
        data,
        round: 3,
    };
    let both = vec![message(append(2, Vec::new(), 2, 2)), message(chunk)];
    replica.group.deliver(2, both);
    until("the snapshot", || replica.group.view().last_index == 5);
    assert_eq!(replica.group.view().applied_index, 5);
    assert!(replica.group.state().drains().workers.is_empty());
}

/// Guards against a replica that has ended and still shows itself as the leader, or an old leader to which
/// its instance would go on turning.
#[test]
fn a_replica_that_ended_neither_leads_nor_knows_a_leader() {
    let replica = replica();
    replica.group.bootstrap();
    until("leadership", || replica.group.leads());
    replica.group.stop();
    until("the end", || replica.group.view().stop_reason.is_some());
    let view = replica.group.view();
    assert_eq!((view.leader, view.leading_since), (None, None));
    assert!(!replica.group.leads());
}

/// Guards against a group formed over one that the disk holds or has heard of.
#[test]
fn a_replica_that_holds_the_group_forms_no_other() {
    let replica = replica();
    assert!(!replica.group.is_initialized());
    replica.group.bootstrap();
    until("leadership", || replica.group.leads());
    let before = replica.group.view();
    replica.group.bootstrap();
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .unwrap();
    let verdict = runtime.block_on(replica.group.propose(drain("w1", true).encode()));
    assert!(matches!(verdict, Verdict::Answer(_)), "{verdict:?}");
    // The view is shown after the answer is sent.
    until("the command", || {
        replica.group.view().last_index > before.last_index
    });
    assert_eq!(replica.group.view().term, before.term);
    assert!(replica.group.is_initialized());
}

fn member() -> impl Strategy<Value = Member> {
    (0..4u64, prop_oneof![Just(0), Just(1), any::<u64>()])
        .prop_map(|(id, incarnation)| Member { id, incarnation })
}

/// Numbers at the ends of the range and near what the replica holds.
fn number() -> impl Strategy<Value = u64> {
    prop_oneof![0..6u64, Just(u64::MAX), Just(u64::MAX - 1), any::<u64>()]
}

fn body() -> impl Strategy<Value = Body> {
    let members = proptest::collection::vec(member(), 0..3).prop_map(Members::new);
    let entry = (
        number(),
        number(),
        proptest::collection::vec(any::<u8>(), 0..8),
    )
        .prop_map(|(index, term, bytes)| Entry {
            index,
            term,
            payload: Payload::Command(bytes),
        });
    let n = number;
    prop_oneof![
        (n(), n(), n()).prop_map(|(next_term, last_index, last_term)| Body::PreVote {
            next_term,
            last_index,
            last_term
        }),
        (n(), any::<bool>())
            .prop_map(|(next_term, granted)| Body::PreVoteReply { next_term, granted }),
        (n(), n(), any::<bool>()).prop_map(|(last_index, last_term, transfer)| Body::Vote {
            last_index,
            last_term,
            transfer
        }),
        any::<bool>().prop_map(|granted| Body::VoteReply { granted }),
        (n(), n(), proptest::collection::vec(entry, 0..3), n(), n()).prop_map(
            |(prev_index, prev_term, entries, commit, round)| Body::Append {
                prev_index,
                prev_term,
                entries,
                commit,
                round
            }
        ),
        (n(), n()).prop_map(|(matched, round)| Body::AppendReply { matched, round }),
        (n(), n(), n(), n()).prop_map(|(rejected, hint_index, hint_term, round)| {
            Body::AppendReject {
                rejected,
                hint_index,
                hint_term,
                round,
            }
        }),
        (n(), n()).prop_map(|(commit, round)| Body::Heartbeat { commit, round }),
        n().prop_map(|round| Body::HeartbeatReply { round }),
        (
            n(),
            n(),
            members,
            n(),
            n(),
            proptest::collection::vec(any::<u8>(), 0..8),
            n()
        )
            .prop_map(
                |(index, term, members, total, offset, data, round)| Body::Chunk {
                    index,
                    term,
                    members,
                    total,
                    checksum: crc32fast::hash(&data),
                    offset,
                    data,
                    round
                }
            ),
        (n(), n(), n()).prop_map(|(index, offset, round)| Body::ChunkReply {
            index,
            offset,
            round
        }),
        Just(Body::TimeoutNow),
    ]
}

/// Throws messages with extreme numbers, damaged messages and noise at a leader; returns what it answers then.
fn hurl(target: impl Fn(u64) -> u64) -> Verdict {
    let replica = replica();
    replica.group.bootstrap();
    until("leadership", || replica.group.leads());
    let target = target(replica.group.member().incarnation);
    let mut runner = proptest::test_runner::TestRunner::new(ProptestConfig {
        cases: 2000,
        failure_persistence: None,
        rng_seed: RngSeed::Fixed(31),
        ..ProptestConfig::default()
    });
    let damage = proptest::option::of((any::<usize>(), any::<u8>()));
    let noise = proptest::collection::vec(any::<u8>(), 0..64);
    runner
        .run(
            &(body(), 0..3u64, damage, noise),
            |(body, term, damage, noise)| {
                let message = Message {
                    term,
                    sender: 9,
                    target,
                    body,
                };
                let mut bytes = postcard::to_stdvec(&message).unwrap();
                if let Some((at, value)) = damage {
                    let at = at % bytes.len();
                    bytes[at] = value;
                }
                replica.group.deliver(9, vec![bytes, noise]);
                prop_assert_eq!(replica.group.view().stop_reason, None);
                Ok(())
            },
        )
        .unwrap();
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .unwrap();
    runtime.block_on(replica.group.propose(drain("w1", true).encode()))
}

/// Guards against bytes of another instance that end a replica's thread or its leadership.
#[test]
fn malformed_bytes_do_not_stop_a_replica() {
    let verdict = hurl(|own| own ^ 1);
    assert!(matches!(verdict, Verdict::Answer(_)), "{verdict:?}");
}

/// Guards against well-formed messages with extreme numbers, meant for this disk, that end a replica's
/// thread. They may end its leadership, as any message of a higher term does.
#[test]
fn extreme_messages_do_not_stop_a_replica() {
    let verdict = hurl(|own| own);
    assert!(
        matches!(verdict, Verdict::Answer(_) | Verdict::NotLeader(_)),
        "{verdict:?}"
    );
}

fn propose(replica: &Replica, command: Vec<u8>) -> Verdict {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .unwrap();
    runtime.block_on(replica.group.propose(command))
}

/// Guards against a command too large for the store, which would stop one leader after the other.
#[test]
fn a_command_too_large_for_the_store_is_refused() {
    let replica = replica();
    replica.group.bootstrap();
    until("leadership", || replica.group.leads());
    let verdict = propose(&replica, vec![b' '; 5 << 20]);
    assert!(matches!(verdict, Verdict::NotRun(_)), "{verdict:?}");
    let verdict = propose(&replica, drain("w1", true).encode());
    assert!(matches!(verdict, Verdict::Answer(_)), "{verdict:?}");
}

/// Guards against a replica that ends for good because its disk was full for a while: commands are refused
/// as not run, entries of a leader wait, and everything goes on when there is space again.
#[test]
fn a_full_disk_stops_a_replica_only_for_a_while() {
    let memory = disk::fs::Memory::new();
    let folder = disk::Folder::open_on(Arc::new(memory.clone()), "data").unwrap();
    let replica = replica_on(folder, None);
    memory.set_capacity(Some(memory.used()));
    // The first entry of the group can't be written.
    replica.group.bootstrap();
    until("the full disk", || {
        replica.group.view().stop_reason.is_some()
    });
    assert!(!replica.group.leads());
    memory.set_capacity(None);
    until("leadership", || replica.group.leads());
    assert_eq!(replica.group.view().stop_reason, None);
    memory.set_capacity(Some(memory.used()));
    let verdict = propose(&replica, drain("w1", true).encode());
    assert!(matches!(verdict, Verdict::NotRun(_)), "{verdict:?}");
    memory.set_capacity(None);
    let verdict = propose(&replica, drain("w1", true).encode());
    assert!(matches!(verdict, Verdict::Answer(_)), "{verdict:?}");
}

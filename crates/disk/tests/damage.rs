//! Files that are not what was written.

mod common;

use {
    common::{FOLDER, Model, Step, open, workload},
    disk::{
        Contents, Error, Folder, Store,
        fs::{Loss, Memory},
    },
    proptest::prelude::*,
    std::{path::PathBuf, sync::Arc},
};

/// A store after the workload, and what it holds.
fn written(steps: &[Step]) -> (Memory, Contents) {
    let memory = Memory::new();
    let mut model = Model::default();
    let (mut store, _) = open(&memory).unwrap();
    for step in steps {
        model.run(&mut store, step).unwrap();
    }
    drop(store);
    memory.restart(Loss::Unsynced);
    (memory, model.durable)
}

/// Path of the newest file whose name starts with `prefix`.
fn newest(memory: &Memory, prefix: &str) -> PathBuf {
    let mut files = memory.files();
    files.retain(|path| {
        path.file_name()
            .unwrap()
            .to_str()
            .unwrap()
            .starts_with(prefix)
    });
    files.pop().unwrap()
}

/// Offsets of the frames of a segment, without the start record.
fn frames(file: &[u8]) -> Vec<usize> {
    let mut offsets = Vec::new();
    let mut offset = 32;
    while offset < file.len() {
        offsets.push(offset);
        let len = u32::from_le_bytes(file[offset + 4..offset + 8].try_into().unwrap());
        offset += 12 + len as usize;
    }
    offsets
}

/// Guards against a torn last record that prevents a start, and against one that is kept.
#[test]
fn torn_tail_is_removed_at_every_length() {
    use Step::*;
    let mut steps = workload();
    steps.extend([Append(2, 5, 30), Hard(9)]);
    let (_, before) = written(&steps);
    steps.push(Sync);
    let (memory, after) = written(&steps);
    assert_ne!(before, after);
    let path = newest(&memory, "log-");
    let file = memory.content(&path).unwrap();
    let last = *frames(&file).last().unwrap();
    for len in last..file.len() {
        for tail in [0, 700] {
            // Blocks that were allocated and not written are zero.
            let mut torn = file[..len].to_vec();
            torn.resize(len + tail, 0);
            memory.replace(&path, Some(torn));
            let (mut store, found) = open(&memory).unwrap();
            assert_eq!(found, before, "cut at {len}, {tail} zeros");
            assert_eq!(memory.content(&path).unwrap(), file[..last]);
            store.set_hard(b"next").unwrap();
            store.sync().unwrap();
            assert_eq!(store.load().unwrap().hard.unwrap(), b"next");
            drop(store);
            memory.restart(Loss::Unsynced);
        }
    }
}

/// Guards against damage in the middle that is taken for a torn tail, which would drop
/// acknowledged records, and against a message without file, offset and repair.
#[test]
fn damage_before_valid_records_refuses_the_start() {
    let (memory, _) = written(&workload());
    let path = newest(&memory, "log-");
    let file = memory.content(&path).unwrap();
    let last = *frames(&file).last().unwrap();
    for offset in 0..last {
        let mut flipped = file.clone();
        flipped[offset] ^= 1 << (offset % 8);
        memory.replace(&path, Some(flipped));
        let Err(error) = open(&memory) else {
            panic!("a flipped bit at {offset} was accepted");
        };
        let text = error.to_string();
        let Error::Damaged {
            path: named,
            offset: at,
            ..
        } = error
        else {
            panic!("a flipped bit at {offset}: {text}");
        };
        assert_eq!(named, path);
        assert!(at as usize <= offset, "{offset}: {text}");
        assert!(text.contains("rejoin as learner"), "{text}");
    }
    // In the last frame it cannot be told from a torn record.
    for offset in last..file.len() {
        let mut flipped = file.clone();
        flipped[offset] ^= 1;
        memory.replace(&path, Some(flipped));
        open(&memory).unwrap();
    }
}

/// Guards against a damaged snapshot or identity that is used or silently replaced.
#[test]
fn damaged_snapshot_and_identity_refuse_the_start() {
    for prefix in ["snapshot-", "incarnation"] {
        let (memory, _) = written(&workload());
        let path = newest(&memory, prefix);
        let file = memory.content(&path).unwrap();
        for offset in 0..file.len() {
            let mut flipped = file.clone();
            flipped[offset] ^= 0x10;
            memory.replace(&path, Some(flipped));
            assert!(
                matches!(open(&memory), Err(Error::Damaged { .. })),
                "{prefix} at {offset}"
            );
            memory.replace(&path, Some(file[..offset].to_vec()));
            assert!(matches!(open(&memory), Err(Error::Damaged { .. })));
        }
        memory.replace(&path, None);
        assert!(matches!(open(&memory), Err(Error::Damaged { .. })));
    }
}

/// Guards against a missing segment, which would look like a shorter log.
#[test]
fn missing_segment_refuses_the_start() {
    use Step::*;
    let big = |term| vec![Append(1, term, 4 << 20), Sync];
    // The third segment replaces an entry by one of the same index and term, so that only the gap
    // shows its absence.
    let replaced = [vec![Truncate(2)], big(1)].concat();
    let steps = [big(1), big(1), replaced, big(2)].concat();
    let (memory, held) = written(&steps);
    let segments: Vec<_> = memory
        .files()
        .into_iter()
        .filter(|path| path.to_str().unwrap().contains("log-"))
        .collect();
    assert_eq!(segments.len(), 4);
    for path in &segments[..3] {
        let file = memory.content(path).unwrap();
        memory.replace(path, None);
        assert!(matches!(open(&memory), Err(Error::Damaged { .. })));
        memory.replace(path, Some(file));
    }
    assert!(open(&memory).unwrap().1 == held);
}

/// Guards against a member that starts empty under its old identity after its files were removed,
/// and so forgets its vote.
#[test]
fn removed_group_refuses_the_start() {
    use Step::*;
    let (memory, _) = written(&[Append(1, 1, 10), Sync]);
    for path in memory.files() {
        if path.parent().unwrap().ends_with("config") {
            memory.replace(path, None);
        }
    }
    assert!(matches!(open(&memory), Err(Error::Damaged { .. })));
}

/// Guards against files of another group or another disk that are taken for own ones, and against
/// a format that a later version wrote.
#[test]
fn foreign_files_refuse_the_start() {
    let (memory, _) = written(&workload());
    let path = newest(&memory, "log-");
    let (other, _) = written(&workload());
    memory.replace(&path, other.content(&path));
    let Err(Error::Damaged { detail, .. }) = open(&memory) else {
        panic!("a segment of another disk was accepted");
    };
    assert!(detail.contains("incarnation"), "{detail}");

    let folder = Folder::open_on(Arc::new(other.clone()), FOLDER).unwrap();
    drop(Store::open(&folder, "other").unwrap());
    drop(folder);
    let moved = PathBuf::from(FOLDER).join("other/log-00000000000000000001");
    let own = PathBuf::from(FOLDER).join("config/log-00000000000000000001");
    for path in other.files() {
        if path.starts_with(own.parent().unwrap()) {
            other.replace(&path, None);
        }
    }
    other.replace(&own, other.content(&moved));
    let Err(Error::Damaged { detail, .. }) = open(&other) else {
        panic!("a segment of another group was accepted");
    };
    assert!(detail.contains("another group"), "{detail}");

    let (memory, _) = written(&workload());
    let path = newest(&memory, "log-");
    let mut file = memory.content(&path).unwrap();
    file[7] = 2;
    let crc = crc32fast::hash(&file[..28]);
    file[28..32].copy_from_slice(&crc.to_le_bytes());
    memory.replace(&path, Some(file));
    assert!(matches!(
        open(&memory),
        Err(Error::Version { found: 2, .. })
    ));
}

/// A change of the bytes of a file.
#[derive(Clone, Debug)]
enum Mutation {
    Flip(usize, u8),
    Cut(usize),
    Insert(usize, Vec<u8>),
    Repeat(usize, usize),
    Remove,
}

fn mutation() -> impl Strategy<Value = Mutation> {
    prop_oneof![
        (any::<usize>(), 1..=255_u8).prop_map(|(at, bits)| Mutation::Flip(at, bits)),
        any::<usize>().prop_map(Mutation::Cut),
        (any::<usize>(), prop::collection::vec(any::<u8>(), 0..40))
            .prop_map(|(at, bytes)| Mutation::Insert(at, bytes)),
        (any::<usize>(), 0..200_usize).prop_map(|(at, len)| Mutation::Repeat(at, len)),
        Just(Mutation::Remove),
    ]
}

fn mutate(mut file: Vec<u8>, mutation: &Mutation) -> Option<Vec<u8>> {
    let len = file.len();
    match mutation {
        Mutation::Flip(at, bits) if len > 0 => file[at % len] ^= bits,
        Mutation::Flip(..) => {}
        Mutation::Cut(at) => file.truncate(at % (len + 1)),
        Mutation::Insert(at, bytes) => {
            let at = at % (len + 1);
            file.splice(at..at, bytes.iter().copied());
        }
        Mutation::Repeat(at, count) => {
            let at = at % (len + 1);
            let copy = file[at..len.min(at + count)].to_vec();
            file.splice(at..at, copy);
        }
        Mutation::Remove => return None,
    }
    Some(file)
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 400,
        rng_seed: proptest::test_runner::RngSeed::Fixed(11),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    /// Guards against a panic while opening, and against contents that change between two starts.
    #[test]
    fn opening_mutated_files_is_a_refusal_or_stable(
        mutations in prop::collection::vec((any::<prop::sample::Index>(), mutation()), 1..4),
    ) {
        let (memory, _) = written(&workload());
        for (index, mutation) in &mutations {
            let path = index.get(&memory.files()).clone();
            let file = memory.content(&path).unwrap();
            memory.replace(&path, mutate(file, mutation));
        }
        if let Ok((store, found)) = open(&memory) {
            drop(store);
            memory.restart(Loss::Unsynced);
            prop_assert_eq!(open(&memory).unwrap().1, found);
        }
    }

    /// Guards against a panic on records that have a valid checksum and no sense.
    #[test]
    fn opening_senseless_records_does_not_panic(
        payloads in prop::collection::vec(payload(), 1..5),
        keep in 0..4_usize,
    ) {
        let (memory, _) = written(&workload());
        let path = newest(&memory, "log-");
        let mut file = memory.content(&path).unwrap();
        let offsets = frames(&file);
        file.truncate(offsets[keep.min(offsets.len() - 1)]);
        for payload in &payloads {
            append_frame(&mut file, payload);
        }
        memory.replace(&path, Some(file));
        if let Ok((mut store, found)) = open(&memory) {
            let next = store.last_index() + 1;
            store.append([(next, 1, &b"next"[..])]).unwrap();
            store.sync().unwrap();
            drop(store);
            memory.restart(Loss::Unsynced);
            let again = open(&memory).unwrap().1;
            prop_assert_eq!(again.entries.len(), found.entries.len() + 1);
        }
    }
}

fn number() -> impl Strategy<Value = u64> {
    prop_oneof![0..16_u64, Just(u64::MAX), Just(u64::MAX - 1), any::<u64>()]
}

/// Records of every kind with fields out of any range, and bytes that are no record.
fn payload() -> impl Strategy<Value = Vec<u8>> {
    let record = prop_oneof![
        (prop::array::uniform4(number()), any::<bool>()).prop_map(|(numbers, hard)| {
            let mut bytes = vec![1];
            numbers.iter().for_each(|n| bytes.extend(n.to_le_bytes()));
            bytes.push(hard.into());
            bytes.extend([1, 0, 0, 0, 7]);
            bytes
        }),
        (number(), number()).prop_map(|(index, term)| {
            [
                &[2][..],
                &index.to_le_bytes(),
                &term.to_le_bytes(),
                &[1, 0, 0, 0, 7],
            ]
            .concat()
        }),
        number().prop_map(|from| [&[3][..], &from.to_le_bytes()].concat()),
        prop::collection::vec(any::<u8>(), 0..20),
    ];
    prop::collection::vec(record, 0..4).prop_map(|records| records.concat())
}

/// Adds a frame with a valid checksum; this is the format of docs/disk.md, written a second time.
fn append_frame(file: &mut Vec<u8>, payload: &[u8]) {
    let salt = crc32fast::hash(&file[..32]);
    let len = (payload.len() as u32).to_le_bytes();
    let offset = (file.len() as u64).to_le_bytes();
    let covered = [&salt.to_le_bytes()[..], &offset, &len, payload].concat();
    file.extend([0xf5, b'T', b'V', 0xa7]);
    file.extend(len);
    file.extend(crc32fast::hash(&covered).to_le_bytes());
    file.extend(payload);
}

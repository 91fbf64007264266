//! A disk that fills up and is freed again, and the bounds of each call.

mod common;

use {
    common::{GROUP, Model, Step, open, reopen},
    disk::{
        Error, Folder, Store,
        fs::{Fault, Loss, Memory},
    },
    std::io::ErrorKind,
};

const MIB: u64 = 1 << 20;

fn is_full<T>(result: Result<T, Error>) -> bool {
    matches!(result, Err(Error::Full { .. }))
}

/// Guards against entries that are accepted without space, and against a store that stays refused
/// after space has returned.
#[test]
fn full_disk_refuses_entries_and_recovers() {
    let memory = Memory::new();
    let (mut store, _) = open(&memory).unwrap();
    let mut model = Model::default();
    model.run(&mut store, &Step::Append(2, 1, 100)).unwrap();
    model.run(&mut store, &Step::Sync).unwrap();
    memory.set_capacity(Some(memory.used() + MIB));
    assert!(is_full(store.check_space(100)));
    assert!(is_full(model.run(&mut store, &Step::Append(1, 1, 100))));
    // Votes and terms must still be kept, or the group could not elect a leader.
    model.run(&mut store, &Step::Hard(7)).unwrap();
    model.run(&mut store, &Step::Truncate(2)).unwrap();
    model.run(&mut store, &Step::Sync).unwrap();
    assert_eq!(store.load().unwrap(), model.durable);
    memory.set_capacity(None);
    store.check_space(100).unwrap();
    model.run(&mut store, &Step::Append(1, 2, 100)).unwrap();
    model.run(&mut store, &Step::Sync).unwrap();
    drop(store);
    assert_eq!(reopen(&memory, Loss::Unsynced).unwrap(), model.durable);
}

/// Guards against the loss of accepted entries when another program takes the space before the
/// sync, first within the reserve and then beyond it.
#[test]
fn accepted_entries_survive_a_disk_that_fills_before_the_sync() {
    let memory = Memory::new();
    let (mut store, _) = open(&memory).unwrap();
    let mut model = Model::default();
    model.run(&mut store, &Step::Append(3, 1, 1000)).unwrap();
    memory.set_capacity(Some(memory.used()));
    model.run(&mut store, &Step::Sync).unwrap();
    assert_eq!(store.load().unwrap(), model.durable);

    memory.set_capacity(None);
    model.run(&mut store, &Step::Append(3, 2, 1000)).unwrap();
    // Neither the free space nor the reserve has room for the frame.
    let reserve = memory
        .files()
        .into_iter()
        .find(|path| path.ends_with("reserve"));
    memory.replace(reserve.unwrap(), None);
    memory.set_capacity(Some(memory.used() + 100));
    assert!(is_full(model.run(&mut store, &Step::Sync)));
    assert!(is_full(model.run(&mut store, &Step::Sync)));
    assert_eq!(store.load().unwrap(), model.durable);
    memory.set_capacity(None);
    model.run(&mut store, &Step::Sync).unwrap();
    drop(store);
    assert_eq!(reopen(&memory, Loss::Unsynced).unwrap(), model.durable);
}

/// Guards against a log that fills the disk and prevents the snapshot that would free it.
#[test]
fn snapshot_frees_a_disk_that_the_log_filled() {
    let memory = Memory::new();
    let (mut store, _) = open(&memory).unwrap();
    let mut model = Model::default();
    memory.set_capacity(Some(60 * MIB));
    let append = Step::Append(1, 1, MIB as usize);
    for _ in 0..60 {
        if model.run(&mut store, &append).is_err() {
            break;
        }
        model.run(&mut store, &Step::Sync).unwrap();
    }
    assert!(is_full(model.run(&mut store, &append)));
    assert!(model.last() > 20, "only {} entries fit", model.last());
    // Another program takes most of the rest.
    memory.set_capacity(Some(memory.used() + MIB));
    model.run(&mut store, &Step::Save(model.last(), 1)).unwrap();
    assert!(store.log_bytes() < MIB);
    model.run(&mut store, &append).unwrap();
    model.run(&mut store, &Step::Sync).unwrap();
    drop(store);
    assert!(reopen(&memory, Loss::Unsynced).unwrap() == model.durable);
}

/// Guards against a snapshot that is reported as saved and is not durable when there is no space
/// for the next segment, and against entries that follow it in the old one.
#[test]
fn snapshot_is_durable_without_space_for_a_segment() {
    let memory = Memory::new();
    let (mut store, _) = open(&memory).unwrap();
    let mut model = Model::default();
    model.run(&mut store, &Step::Append(2, 1, 100)).unwrap();
    model.run(&mut store, &Step::Sync).unwrap();
    // A snapshot creates, writes four parts, syncs, renames and syncs the folder.
    let segment = memory.operations() + 8;
    for operation in segment..segment + 10 {
        memory.inject(operation, Fault::Error(ErrorKind::StorageFull));
    }
    model.run(&mut store, &Step::Save(9, 2)).unwrap();
    let refused = model.run(&mut store, &Step::Append(1, 2, 100));
    assert!(is_full(refused), "a segment was started");
    drop(store);
    assert_eq!(reopen(&memory, Loss::Unsynced).unwrap(), model.durable);
    let (mut store, _) = open(&memory).unwrap();
    model.run(&mut store, &Step::Append(1, 2, 100)).unwrap();
    model.run(&mut store, &Step::Sync).unwrap();
    drop(store);
    assert_eq!(reopen(&memory, Loss::Unsynced).unwrap(), model.durable);
}

/// Guards against a full disk that prevents a restart.
#[test]
fn store_opens_on_a_full_disk() {
    let memory = Memory::new();
    let (mut store, _) = open(&memory).unwrap();
    let mut model = Model::default();
    model.run(&mut store, &Step::Append(1, 1, 10)).unwrap();
    model.run(&mut store, &Step::Sync).unwrap();
    drop(store);
    let reserve = memory
        .files()
        .into_iter()
        .find(|path| path.ends_with("reserve"));
    memory.replace(reserve.unwrap(), None);
    memory.set_capacity(Some(memory.used()));
    let (mut store, found) = open(&memory).unwrap();
    assert_eq!(found, model.durable);
    assert!(is_full(store.check_space(0)));
}

/// Guards against values beyond the bounds, which a later start would refuse, and against entries
/// that do not continue the log.
#[test]
fn bounds_and_order_are_checked() {
    let place = tempfile::tempdir().unwrap();
    let folder = Folder::open(place.path()).unwrap();
    let (mut store, _) = Store::open(&folder, GROUP).unwrap();
    let mib = vec![7; 1 << 20];
    let large = mib.repeat(5);
    let too_large = |result| matches!(result, Err(Error::TooLarge { .. }));
    assert!(too_large(store.append([(1, 1, &large[..])])));
    assert!(too_large(store.set_hard(&mib)));
    assert!(too_large(store.save_snapshot(1, 1, &mib.repeat(65))));
    let many = (1..=17).map(|index| (index, 1, &mib[..]));
    assert!(too_large(store.append(many)));

    let order = |result| matches!(result, Err(Error::Order { .. }));
    assert!(order(store.append([(2, 1, &b""[..])])));
    assert!(order(store.append([(1, 1, &b""[..]), (3, 1, b"")])));
    assert_eq!(store.last_index(), 0);
    store.append([(1, 1, &b""[..]), (2, 1, b"")]).unwrap();
    assert!(order(store.truncate_from(0)));
    assert!(order(store.truncate_from(4)));
    store.truncate_from(3).unwrap();
    store.save_snapshot(2, 1, b"").unwrap();
    assert!(order(store.truncate_from(2)));
    assert!(order(store.save_snapshot(1, 1, b"")));
    assert!(order(store.save_snapshot(u64::MAX, 1, b"")));
    store.append([(3, 1, &mib[..])]).unwrap();
    assert_eq!(store.sync().unwrap(), 3);
}

//! Power cuts, killed processes and single failed operations at every operation of a workload.

mod common;

use {
    common::{FOLDER, GROUP, Model, Step, open, reopen, workload},
    disk::{
        Error, Folder, Store,
        fs::{Fault, Loss, Memory},
    },
    std::{io::ErrorKind, sync::Arc},
};

/// Runs the steps until one fails.
fn run(memory: &Memory, steps: &[Step]) -> (Model, Result<Store, Error>) {
    let mut model = Model::default();
    let mut store = match open(memory) {
        Ok((store, _)) => store,
        Err(error) => return (model, Err(error)),
    };
    for step in steps {
        if let Err(error) = model.run(&mut store, step) {
            return (model, Err(error));
        }
    }
    (model, Ok(store))
}

fn operations(steps: &[Step]) -> u64 {
    let memory = Memory::new();
    let (model, store) = run(&memory, steps);
    assert_eq!(store.unwrap().load().unwrap(), model.durable);
    memory.operations()
}

fn cut_everywhere(steps: &[Step], losses: &[Loss]) {
    for cut in 0..operations(steps) {
        for loss in losses {
            let memory = Memory::new();
            memory.inject(cut, Fault::PowerCut);
            let (mut model, result) = run(&memory, steps);
            assert!(result.is_err());
            memory.restart(*loss);
            let (mut store, found) =
                open(&memory).unwrap_or_else(|error| panic!("cut {cut}, {loss:?}: {error}"));
            assert!(model.admits(&found), "cut {cut}, {loss:?}");
            // What was found must be durable, and the store must go on from it.
            assert!(reopen(&memory, Loss::Unsynced).unwrap() == found);
            drop(store);
            model.now = found;
            memory.restart(Loss::Nothing);
            (store, _) = open(&memory).unwrap();
            model.run(&mut store, &Step::Append(2, 9, 40)).unwrap();
            model.run(&mut store, &Step::Sync).unwrap();
            let found = reopen(&memory, Loss::Unsynced).unwrap();
            assert!(found == model.durable, "cut {cut}, {loss:?}");
        }
    }
}

/// Guards against lost acknowledged changes and against a refusal to start after any power cut.
#[test]
fn power_cut_at_every_operation_keeps_what_was_synced() {
    let mut losses = vec![Loss::Nothing, Loss::Unsynced];
    losses.extend((0..6).map(Loss::Some));
    cut_everywhere(&workload(), &losses);
}

/// Guards against the same where a segment is closed because of its size.
#[test]
fn power_cut_keeps_what_was_synced_in_full_segments() {
    use Step::*;
    let steps = [
        Append(1, 1, 3 << 20),
        Append(1, 1, 3 << 20),
        Sync,
        Append(1, 1, 4 << 20),
        Sync,
        Append(1, 1, 100),
        Sync,
        // Covers two closed segments, which are removed one after the other.
        Save(3, 1),
        Append(1, 1, 100),
        Sync,
    ];
    cut_everywhere(
        &steps,
        &[Loss::Unsynced, Loss::Some(1), Loss::Some(2), Loss::Some(3)],
    );
}

/// Guards against a store that goes on after a failed sync, and against a restart that takes bytes
/// of the page cache for durable.
#[test]
fn failed_sync_ends_the_store_for_good() {
    let steps = workload();
    let mut failed = 0;
    for operation in 0..operations(&steps) {
        let memory = Memory::new();
        let Ok((mut store, _)) = open(&memory) else {
            panic!("an empty folder does not open");
        };
        memory.inject(operation, Fault::Error(ErrorKind::Other));
        let mut model = Model::default();
        let error = steps
            .iter()
            .find_map(|step| model.run(&mut store, step).err());
        let Some(Error::SyncFailed { .. }) = error else {
            continue;
        };
        failed += 1;
        let results = [
            store.append([(1, 1, &b""[..])]),
            store.truncate_from(1),
            store.set_hard(b""),
            store.sync().map(drop),
            store.save_snapshot(100, 1, b""),
            store.check_space(0),
        ];
        for result in results {
            assert!(matches!(result, Err(Error::SyncFailed { .. })));
        }
        drop(store);
        let found = reopen(&memory, Loss::Nothing).unwrap();
        assert!(model.admits(&found), "operation {operation}: {found:?}");
        let durable = reopen(&memory, Loss::Unsynced).unwrap();
        assert_eq!(durable, found, "operation {operation}");
    }
    assert!(failed > 20, "only {failed} failed syncs were seen");
}

/// Guards against a failed or short write that loses, repeats or garbles a record when the call is
/// made again.
#[test]
fn failed_write_can_be_repeated() {
    let steps = workload();
    for operation in 0..operations(&steps) {
        for fault in [
            Fault::Error(ErrorKind::Other),
            Fault::Error(ErrorKind::StorageFull),
            Fault::Short(0),
            Fault::Short(7),
            Fault::Short(100),
        ] {
            let memory = Memory::new();
            let (mut store, _) = open(&memory).unwrap();
            memory.inject(operation, fault);
            let mut model = Model::default();
            let mut ended = false;
            for step in &steps {
                match model.run(&mut store, step) {
                    Err(Error::SyncFailed { .. }) => {
                        ended = true;
                        break;
                    }
                    Err(_) => model.run(&mut store, step).unwrap(),
                    Ok(()) => {}
                }
            }
            if !ended {
                drop(store);
                let found = reopen(&memory, Loss::Unsynced).unwrap();
                assert_eq!(found, model.durable, "operation {operation}, {fault:?}");
            }
        }
    }
}

/// Guards against an identity that changes although state was written under it.
#[test]
fn incarnation_survives_every_power_cut() {
    for cut in 0..8 {
        for loss in [Loss::Nothing, Loss::Unsynced, Loss::Some(cut)] {
            let memory = Memory::new();
            memory.inject(cut, Fault::PowerCut);
            let folder = |memory: &Memory| Folder::open_on(Arc::new(memory.clone()), FOLDER);
            let first = folder(&memory).ok().map(|folder| {
                let _ = Store::open(&folder, GROUP);
                folder.incarnation()
            });
            memory.restart(loss);
            let second = folder(&memory).unwrap();
            assert!(first.is_none_or(|first| first == second.incarnation()));
        }
    }
}

//! The store on the real file system of the machine.

use disk::{Contents, Entry, Error, Folder, Snapshot, Store};

fn entry(index: u64, term: u64, text: &str) -> Entry {
    Entry {
        index,
        term,
        bytes: text.as_bytes().to_vec(),
    }
}

/// Guards against state that a restart does not find again.
#[test]
fn reopening_returns_what_was_synced() {
    let place = tempfile::tempdir().unwrap();
    let folder = Folder::open(place.path().join("data")).unwrap();
    assert!(folder.is_new());
    let incarnation = folder.incarnation();
    let (mut store, contents) = Store::open(&folder, "config").unwrap();
    assert_eq!(contents, Contents::default());
    store
        .append([(1, 1, &b"a"[..]), (2, 1, b"b"), (3, 2, b"c")])
        .unwrap();
    store.truncate_from(3).unwrap();
    store.append([(3, 3, &b"d"[..]), (4, 3, b"e")]).unwrap();
    store.set_hard(b"vote").unwrap();
    assert_eq!(store.sync().unwrap(), 4);
    let expected = Contents {
        hard: Some(b"vote".to_vec()),
        snapshot: None,
        entries: vec![
            entry(1, 1, "a"),
            entry(2, 1, "b"),
            entry(3, 3, "d"),
            entry(4, 3, "e"),
        ],
    };
    assert_eq!(store.load().unwrap(), expected);
    drop((store, folder));

    let folder = Folder::open(place.path().join("data")).unwrap();
    assert!(!folder.is_new());
    assert_eq!(folder.incarnation(), incarnation);
    let (mut store, contents) = Store::open(&folder, "config").unwrap();
    assert_eq!(contents, expected);
    store.save_snapshot(3, 3, b"state").unwrap();
    store.append([(5, 3, &b"f"[..])]).unwrap();
    store.sync().unwrap();
    let expected = Contents {
        hard: Some(b"vote".to_vec()),
        snapshot: Some(Snapshot {
            index: 3,
            term: 3,
            bytes: b"state".to_vec(),
        }),
        entries: vec![entry(4, 3, "e"), entry(5, 3, "f")],
    };
    drop((store, folder));
    let folder = Folder::open(place.path().join("data")).unwrap();
    let (_store, contents) = Store::open(&folder, "config").unwrap();
    assert_eq!(contents, expected);
}

/// Guards against two processes, or two stores of one process, that write the same files.
#[test]
fn folder_and_group_are_used_once() {
    let place = tempfile::tempdir().unwrap();
    let folder = Folder::open(place.path()).unwrap();
    assert!(matches!(
        Folder::open(place.path()),
        Err(Error::Locked { .. })
    ));
    let (store, _) = Store::open(&folder, "config").unwrap();
    assert!(matches!(
        Store::open(&folder, "config"),
        Err(Error::Locked { .. })
    ));
    // The lock lasts as long as any store.
    drop(folder);
    assert!(matches!(
        Folder::open(place.path()),
        Err(Error::Locked { .. })
    ));
    drop(store);
    let folder = Folder::open(place.path()).unwrap();
    Store::open(&folder, "config").unwrap();
}

/// Guards against a store that cannot be moved to a thread of its own.
#[test]
fn folder_and_store_can_be_sent_to_a_thread() {
    fn is_send<T: Send>() {}
    is_send::<Folder>();
    is_send::<Store>();
}

/// Guards against a group name that leaves the data folder.
#[test]
fn group_names_are_checked() {
    let place = tempfile::tempdir().unwrap();
    let folder = Folder::open(place.path()).unwrap();
    for name in ["", "..", "a/b", "A", &"a".repeat(65)] {
        assert!(matches!(Store::open(&folder, name), Err(Error::Name(_))));
    }
}

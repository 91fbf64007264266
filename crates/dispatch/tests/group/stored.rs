use {dispatch::state::ControlState, quorum::Payload, replica::StateMachine, std::path::Path};

/// What a copy of the disk holds, as after a loss of power.
pub fn state_on_disk(folder: &Path) -> ControlState {
    let copy = tempfile::tempdir().unwrap();
    std::fs::create_dir(copy.path().join("work")).unwrap();
    for part in ["", "work"] {
        for entry in std::fs::read_dir(folder.join(part)).unwrap() {
            let path = entry.unwrap().path();
            if path.is_file() {
                let name = path.file_name().unwrap();
                std::fs::copy(&path, copy.path().join(part).join(name)).unwrap();
            }
        }
    }
    let folder = disk::Folder::open(copy.path()).unwrap();
    let (_, contents) = disk::Store::open(&folder, "work").unwrap();
    let stored = replica::codec::decode_state(folder.incarnation(), contents).unwrap();
    let state = ControlState::default();
    for entry in stored.entries {
        if let Payload::Command(command) = entry.payload {
            state.apply(&command, false).unwrap();
        }
    }
    state
}

//! Measures synced appends, restart time and disk use.
//!
//! `cargo run --release -p disk --example store -- FOLDER`, with a folder that does not exist yet
//! on the disk to be measured.

use {
    disk::{Error, Folder, Store},
    std::{
        env, fs,
        path::{Path, PathBuf},
        process::ExitCode,
        time::Instant,
    },
};

const ENTRY_BYTES: usize = 300;

/// Snapshots are taken each 4,096 entries.
const SNAPSHOT_ENTRIES: u64 = 4096;

/// Size of the state in a snapshot.
const STATE_BYTES: usize = 1 << 20;

/// Entries of one sync while a log is prepared.
const PREPARE_BATCH: u64 = 500;

/// Syncs that are timed for each size of a batch.
const SYNCS: u64 = 2000;

/// Starts that are timed; the median counts.
const STARTS: usize = 11;

fn main() -> ExitCode {
    let Some(folder) = env::args().nth(1).map(PathBuf::from) else {
        eprintln!("usage: measure FOLDER");
        return ExitCode::FAILURE;
    };
    if folder.exists() {
        eprintln!("`{}` exists; name a new folder", folder.display());
        return ExitCode::FAILURE;
    }
    let result = measure(&folder);
    if let Err(error) = fs::remove_dir_all(&folder) {
        eprintln!("cannot remove `{}`: {error}", folder.display());
    }
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("{error}");
            ExitCode::FAILURE
        }
    }
}

fn measure(folder: &Path) -> Result<(), Error> {
    for batch in [1, 16, 64] {
        throughput(&folder.join(format!("batch-{batch}")), batch)?;
    }
    for entries in [1_000, 100_000] {
        for snapshots in [false, true] {
            restart(
                &folder.join(format!("log-{entries}-{snapshots}")),
                entries,
                snapshots,
            )?;
        }
    }
    Ok(())
}

fn throughput(path: &Path, batch: u64) -> Result<(), Error> {
    let folder = Folder::open(path)?;
    let (mut store, _) = Store::open(&folder, "measure")?;
    let mut times = Vec::new();
    let start = Instant::now();
    for _ in 0..SYNCS {
        let sync = Instant::now();
        append(&mut store, batch)?;
        times.push(sync.elapsed());
    }
    let elapsed = start.elapsed();
    times.sort_unstable();
    println!(
        "batch {batch}: {:.0} entries/s, sync median {:.3} ms, p99 {:.3} ms",
        (SYNCS * batch) as f64 / elapsed.as_secs_f64(),
        times[times.len() / 2].as_secs_f64() * 1e3,
        times[times.len() * 99 / 100].as_secs_f64() * 1e3
    );
    Ok(())
}

fn restart(path: &Path, entries: u64, snapshots: bool) -> Result<(), Error> {
    let folder = Folder::open(path)?;
    let (mut store, _) = Store::open(&folder, "measure")?;
    let state = vec![7; STATE_BYTES];
    let mut saves = Vec::new();
    while store.last_index() < entries {
        let left = entries - store.last_index();
        append(&mut store, PREPARE_BATCH.min(left))?;
        let due = store.last_index() - store.base_index() >= SNAPSHOT_ENTRIES;
        if snapshots && (due || store.last_index() == entries) {
            let save = Instant::now();
            let index = store.last_index();
            store.save_snapshot(index, 1, &state)?;
            saves.push(save.elapsed());
        }
    }
    let log_bytes = store.log_bytes();
    drop((store, folder));
    let mut times = Vec::new();
    let mut held = 0;
    for _ in 0..STARTS {
        let start = Instant::now();
        let folder = Folder::open(path)?;
        let (_store, contents) = Store::open(&folder, "measure")?;
        times.push(start.elapsed());
        held = contents.entries.len();
    }
    times.sort_unstable();
    saves.sort_unstable();
    println!(
        "{entries} entries, {} snapshots: restart {:.2} ms, {held} entries in the log, log {:.2} \
         MiB, folder {:.2} MiB, snapshot median {:.2} ms",
        saves.len(),
        times[times.len() / 2].as_secs_f64() * 1e3,
        mib(log_bytes),
        mib(size(path)),
        saves
            .get(saves.len() / 2)
            .map_or(0.0, |save| save.as_secs_f64() * 1e3)
    );
    Ok(())
}

fn append(store: &mut Store, batch: u64) -> Result<(), Error> {
    let bytes = [5; ENTRY_BYTES];
    let next = store.last_index() + 1;
    store.append((next..next + batch).map(|index| (index, 1, &bytes[..])))?;
    store.sync().map(drop)
}

fn mib(bytes: u64) -> f64 {
    bytes as f64 / f64::from(1 << 20)
}

/// Bytes of all files below a folder.
fn size(path: &Path) -> u64 {
    let Ok(entries) = fs::read_dir(path) else {
        return fs::metadata(path).map_or(0, |metadata| metadata.len());
    };
    entries.flatten().map(|entry| size(&entry.path())).sum()
}

use {
    crate::{
        Error,
        format::{Header, Kind},
        fs::FileSystem,
    },
    std::{
        path::{Path, PathBuf},
        sync::Arc,
    },
};

const SEGMENT: &str = "log-";
const SNAPSHOT: &str = "snapshot-";
const TEMPORARY: &str = ".tmp";
const RESERVE: &str = "reserve";
const CREATED: &str = "created-";

/// The folder of a group and the names in it.
pub struct Files {
    pub fs: Arc<dyn FileSystem>,
    pub folder: PathBuf,
    pub incarnation: u64,
    pub group: u32,
}

/// What the folder of a group contains.
#[derive(Debug, Default)]
pub struct Listing {
    /// Sequence numbers of the segments, ascending.
    pub segments: Vec<u64>,
    /// Indices of the snapshots, ascending.
    pub snapshots: Vec<u64>,
    /// Names of files that were not completed.
    pub temporary: Vec<String>,
    /// Whether the reserve file exists.
    pub reserve: bool,
}

impl Files {
    /// The header that a file of this group must have.
    pub fn header(&self, kind: Kind, number: u64) -> Header {
        Header {
            kind,
            incarnation: self.incarnation,
            group: self.group,
            number,
        }
    }

    /// The file that exists once the store of `name` has been created.
    pub fn created(data_folder: &Path, name: &str) -> PathBuf {
        data_folder.join(format!("{CREATED}{name}"))
    }

    pub fn segment(&self, sequence: u64) -> PathBuf {
        self.folder.join(format!("{SEGMENT}{sequence:020}"))
    }

    pub fn snapshot(&self, index: u64) -> PathBuf {
        self.folder.join(format!("{SNAPSHOT}{index:020}"))
    }

    pub fn reserve(&self) -> PathBuf {
        self.folder.join(RESERVE)
    }

    /// The name under which a file is written before it is renamed to `path`.
    pub fn temporary(path: &Path) -> PathBuf {
        let mut name = path.as_os_str().to_owned();
        name.push(TEMPORARY);
        name.into()
    }

    pub fn list(&self) -> Result<Listing, Error> {
        let names = self
            .fs
            .list(&self.folder)
            .map_err(Error::io("list", &self.folder))?;
        let mut listing = Listing::default();
        for name in names {
            if name.ends_with(TEMPORARY) {
                listing.temporary.push(name);
            } else if name == RESERVE {
                listing.reserve = true;
            } else if let Some(number) = number(&name, SEGMENT) {
                listing.segments.push(number);
            } else if let Some(number) = number(&name, SNAPSHOT) {
                listing.snapshots.push(number);
            } else {
                log::warn!(
                    "event=unknown_file folder={} name={name}",
                    self.folder.display()
                );
            }
        }
        listing.segments.sort_unstable();
        listing.snapshots.sort_unstable();
        Ok(listing)
    }
}

/// The number in a name of exactly twenty digits after `prefix`. The largest number is no number of
/// a file, so that a successor always exists.
fn number(name: &str, prefix: &str) -> Option<u64> {
    let digits = name.strip_prefix(prefix)?;
    (digits.len() == 20 && digits.bytes().all(|b| b.is_ascii_digit()))
        .then(|| digits.parse().ok())?
        .filter(|number| *number != u64::MAX)
}

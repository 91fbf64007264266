use {
    crate::{
        Error,
        format::{HEADER_BYTES, Header, Kind, header_incarnation},
        fs::{FileSystem, Guard, Real},
    },
    std::{
        collections::BTreeSet,
        io::ErrorKind,
        path::{Path, PathBuf},
        sync::{Arc, Mutex, MutexGuard, PoisonError},
    },
};

const LOCK: &str = "lock";
const INCARNATION: &str = "incarnation";
const INCARNATION_NEW: &str = "incarnation.tmp";

/// Names that an empty data folder may contain; `lost+found` is at the root of some file systems.
const IGNORED: [&str; 3] = [LOCK, INCARNATION_NEW, "lost+found"];

/// The locked data folder of an instance. The lock is held until the folder and all stores opened
/// from it are dropped.
pub struct Folder {
    shared: Arc<Shared>,
    created: bool,
}

/// What stores need of their folder.
pub(crate) struct Shared {
    pub path: PathBuf,
    pub fs: Arc<dyn FileSystem>,
    pub incarnation: u64,
    groups: Mutex<BTreeSet<String>>,
    _guard: Guard,
}

impl Shared {
    /// Groups that have an open store.
    pub fn groups(&self) -> MutexGuard<'_, BTreeSet<String>> {
        self.groups.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Folder {
    /// Locks the folder, creating it with a new random incarnation if it is empty or missing.
    pub fn open(path: impl AsRef<Path>) -> Result<Folder, Error> {
        Folder::open_on(Arc::new(Real), path)
    }

    /// Does the same with a given incarnation for a new folder.
    ///
    /// For the first members of a group, which must know each other's incarnations before they have talked.
    pub fn open_as(path: impl AsRef<Path>, incarnation: u64) -> Result<Folder, Error> {
        Folder::open_or_create(Arc::new(Real), path.as_ref(), incarnation)
    }

    /// Opens a folder on another file system.
    pub fn open_on(fs: Arc<dyn FileSystem>, path: impl AsRef<Path>) -> Result<Folder, Error> {
        Folder::open_or_create(fs, path.as_ref(), rand::random())
    }

    fn open_or_create(
        fs: Arc<dyn FileSystem>,
        path: &Path,
        incarnation: u64,
    ) -> Result<Folder, Error> {
        fs.create_folder(path)
            .map_err(Error::io("create the folder", path))?;
        let guard = fs
            .lock(&path.join(LOCK))
            .map_err(Error::io("lock the folder", path))?
            .ok_or_else(|| Error::Locked {
                path: path.to_owned(),
            })?;
        let (incarnation, created) = match read(&*fs, path)? {
            Some(incarnation) => (incarnation, false),
            None => (create(&*fs, path, incarnation)?, true),
        };
        Ok(Folder {
            shared: Arc::new(Shared {
                path: path.to_owned(),
                fs,
                incarnation,
                groups: Mutex::default(),
                _guard: guard,
            }),
            created,
        })
    }

    /// Random identity of the folder, written when it was created.
    pub fn incarnation(&self) -> u64 {
        self.shared.incarnation
    }

    /// Tells whether the folder was created by this call of [`Folder::open`].
    pub fn is_new(&self) -> bool {
        self.created
    }

    /// Where the folder is.
    pub fn path(&self) -> &Path {
        &self.shared.path
    }

    pub(crate) fn shared(&self) -> &Arc<Shared> {
        &self.shared
    }
}

fn read(fs: &dyn FileSystem, folder: &Path) -> Result<Option<u64>, Error> {
    let path = folder.join(INCARNATION);
    let damaged = |detail: &str| {
        Err(Error::Damaged {
            path: path.clone(),
            offset: 0,
            detail: detail.into(),
        })
    };
    match fs.read(&path, HEADER_BYTES as u64) {
        Ok(bytes) => match header_incarnation(&bytes, Kind::Incarnation) {
            Some((crate::format::VERSION, incarnation)) => Ok(Some(incarnation)),
            Some((found, _)) => Err(Error::Version { path, found }),
            None => damaged("the identity of the folder is not readable"),
        },
        Err(error) if error.kind() == ErrorKind::NotFound => {
            let names = fs.list(folder).map_err(Error::io("list", folder))?;
            match names.iter().find(|name| !IGNORED.contains(&name.as_str())) {
                Some(name) => damaged(&format!(
                    "the identity is missing although the folder contains `{name}`"
                )),
                None => Ok(None),
            }
        }
        Err(error) if error.kind() == ErrorKind::FileTooLarge => {
            damaged("the identity of the folder is too long")
        }
        Err(error) => Err(Error::io("read", path)(error)),
    }
}

fn create(fs: &dyn FileSystem, folder: &Path, incarnation: u64) -> Result<u64, Error> {
    let header = Header {
        kind: Kind::Incarnation,
        incarnation,
        group: 0,
        number: 0,
    };
    let (new, path) = (folder.join(INCARNATION_NEW), folder.join(INCARNATION));
    let write = || {
        let mut file = fs.create(&new)?;
        file.append(&header.encode())?;
        file.sync()?;
        fs.rename(&new, &path)?;
        fs.sync_folder(folder)?;
        match folder.parent() {
            Some(parent) if !parent.as_os_str().is_empty() => fs.sync_folder(parent),
            _ => Ok(()),
        }
    };
    write().map_err(Error::io("create", &path))?;
    Ok(incarnation)
}

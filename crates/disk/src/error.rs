use std::{fmt, io, path::PathBuf};

/// Why the data folder or a store could not be opened or changed.
#[derive(Debug)]
pub enum Error {
    /// Another process, or another store of this process, uses the path.
    Locked {
        /// The folder in use.
        path: PathBuf,
    },
    /// The file system refused an operation; nothing that was reported as durable is affected.
    Io {
        /// What was attempted.
        operation: &'static str,
        /// The file or folder.
        path: PathBuf,
        /// The reason given by the file system.
        source: io::Error,
    },
    /// Bytes on the disk are not what was written.
    Damaged {
        /// The file or folder.
        path: PathBuf,
        /// Offset in bytes of the first damage.
        offset: u64,
        /// What was found.
        detail: String,
    },
    /// The file was written in another version of the format.
    Version {
        /// The file.
        path: PathBuf,
        /// Version found in the file.
        found: u8,
    },
    /// A sync failed earlier or now, so it is unknown which bytes are durable.
    SyncFailed {
        /// The file or folder whose sync failed.
        path: PathBuf,
        /// The reason given by the file system.
        reason: String,
    },
    /// The disk has too little free space; nothing was changed.
    Full {
        /// The folder of the store.
        path: PathBuf,
        /// Bytes available.
        free: u64,
        /// Bytes that must be available.
        needed: u64,
    },
    /// The text cannot name a group.
    Name(String),
    /// A value exceeds its bound.
    TooLarge {
        /// What is too large.
        what: &'static str,
        /// Its size in bytes.
        bytes: u64,
        /// The bound in bytes.
        bound: u64,
    },
    /// The indices of a call do not continue the log.
    Order {
        /// The call.
        operation: &'static str,
        /// Index passed by the caller.
        index: u64,
        /// Lowest index that the call accepts now.
        lowest: u64,
        /// Highest index that the call accepts now.
        highest: u64,
    },
}

impl Error {
    pub(crate) fn io(
        operation: &'static str,
        path: impl Into<PathBuf>,
    ) -> impl FnOnce(io::Error) -> Error {
        let path = path.into();
        move |source| Error::Io {
            operation,
            path,
            source,
        }
    }
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Error::Locked { path } => write!(
                f,
                "`{}` is in use; stop the other process or name another folder under `data.folder`",
                path.display()
            ),
            Error::Io {
                operation,
                path,
                source,
            } => write!(f, "cannot {operation} `{}`: {source}", path.display()),
            Error::Damaged {
                path,
                offset,
                detail,
            } => write!(
                f,
                "`{}` is damaged at offset {offset}: {detail}; replace the disk (or move the data \
                 folder away), start with an empty folder and rejoin as learner",
                path.display()
            ),
            Error::Version { path, found } => write!(
                f,
                "`{}` has format version {found}, this program reads version {}; start the \
                 release that wrote it",
                path.display(),
                crate::format::VERSION
            ),
            Error::SyncFailed { path, reason } => write!(
                f,
                "sync of `{}` failed ({reason}); it is unknown which bytes are durable, so the \
                 store accepts nothing more; check the disk, then restart the instance",
                path.display()
            ),
            Error::Full { path, free, needed } => write!(
                f,
                "the disk of `{}` has {free} bytes free and needs {needed}; nothing was changed; \
                 free some space",
                path.display()
            ),
            Error::Name(name) => write!(
                f,
                "`{name}` cannot name a group; use 1 to 64 characters of a-z, 0-9 and `-`"
            ),
            Error::TooLarge { what, bytes, bound } => {
                write!(f, "{what} has {bytes} bytes; the bound is {bound}")
            }
            Error::Order {
                operation,
                index,
                lowest,
                highest,
            } => write!(
                f,
                "{operation} at index {index} does not continue the log; accepted are {lowest} to \
                 {highest}"
            ),
        }
    }
}

impl std::error::Error for Error {
    fn source(&self) -> Option<&(dyn std::error::Error + 'static)> {
        match self {
            Error::Io { source, .. } => Some(source),
            _ => None,
        }
    }
}

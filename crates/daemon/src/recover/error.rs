use std::{fmt, path::PathBuf};

/// Why a group was not recovered. Nothing was changed.
#[derive(Debug)]
pub enum Error {
    /// The settings name no data folder for this instance.
    NoFolder,
    /// The group is not in the settings, or this instance is not one of its members.
    NoGroup(String),
    /// The data folder does not exist or was never used.
    Empty(PathBuf),
    /// The disk holds nothing of the group.
    NothingHeld(String),
    /// The option to accept the loss was not given.
    NotAccepted,
    /// The disk could not be opened, read or written.
    Disk(control::group::Error),
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Error::NoFolder => write!(f, "the settings name no data folder for this instance"),
            Error::NoGroup(group) => write!(
                f,
                "this instance holds no replica of the group `{group}` by its settings"
            ),
            Error::Empty(path) => write!(f, "the data folder {} is empty", path.display()),
            Error::NothingHeld(group) => {
                write!(f, "the disk holds nothing of the group `{group}`")
            }
            Error::NotAccepted => write!(
                f,
                "nothing was changed; compare the replicas, make sure that the lost instances never start \
                 with their old disks, and pass --accept-loss on the replica with the highest last term \
                 and index"
            ),
            Error::Disk(error) => error.fmt(f),
        }
    }
}

impl std::error::Error for Error {}

impl From<control::group::Error> for Error {
    fn from(error: control::group::Error) -> Error {
        Error::Disk(error)
    }
}

impl From<disk::Error> for Error {
    fn from(error: disk::Error) -> Error {
        Error::Disk(error.into())
    }
}

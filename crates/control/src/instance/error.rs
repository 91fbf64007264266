use {
    crate::{group, peers},
    std::fmt,
};

/// Why an instance cannot start or a command or query has no answer.
#[derive(Debug)]
pub enum Error {
    /// The data folder.
    Disk(disk::Error),
    /// A replica.
    Group(group::Error),
    /// The listener for other instances.
    Peers(peers::Error),
    /// Not executed.
    NotRun(String),
    /// It is not known whether the command is executed; a resend with the same key is safe.
    Unknown(String),
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Error::Disk(error) => error.fmt(f),
            Error::Group(error) => error.fmt(f),
            Error::Peers(error) => error.fmt(f),
            Error::NotRun(reason) => write!(f, "not run: {reason}"),
            Error::Unknown(reason) => write!(f, "not known whether it ran: {reason}"),
        }
    }
}

impl std::error::Error for Error {}

impl From<disk::Error> for Error {
    fn from(error: disk::Error) -> Error {
        Error::Disk(error)
    }
}

impl From<group::Error> for Error {
    fn from(error: group::Error) -> Error {
        Error::Group(error)
    }
}

impl From<peers::Error> for Error {
    fn from(error: peers::Error) -> Error {
        Error::Peers(error)
    }
}

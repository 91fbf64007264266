use std::fmt;

/// Error that keeps a replica from starting or stops it.
#[derive(Debug)]
pub enum Error {
    /// The disk failed or its contents are damaged.
    Disk(disk::Error),
    /// A record or message could not be encoded or decoded.
    Codec(String),
    /// The state machine could not save its state or restore it from a snapshot, for example because this version does
    /// not understand the snapshot.
    State(String),
    /// The replica's thread could not be started.
    Thread(std::io::Error),
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Error::Disk(error) => error.fmt(f),
            Error::Codec(reason) => write!(f, "cannot encode or decode a record: {reason}"),
            Error::State(reason) => write!(f, "cannot save or restore the state: {reason}"),
            Error::Thread(error) => write!(f, "cannot start the thread of a group: {error}"),
        }
    }
}

impl std::error::Error for Error {}

impl From<disk::Error> for Error {
    fn from(error: disk::Error) -> Error {
        Error::Disk(error)
    }
}

impl From<postcard::Error> for Error {
    fn from(error: postcard::Error) -> Error {
        Error::Codec(error.to_string())
    }
}

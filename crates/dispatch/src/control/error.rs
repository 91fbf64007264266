use std::fmt;

/// Why a control instance cannot start.
#[derive(Debug)]
pub enum Error {
    /// It cannot listen for other instances.
    Peers(peers::Error),
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Error::Peers(error) => error.fmt(f),
        }
    }
}

impl std::error::Error for Error {}

impl From<peers::Error> for Error {
    fn from(error: peers::Error) -> Error {
        Error::Peers(error)
    }
}

use std::fmt;

/// Error that keeps a control instance from starting.
#[derive(Debug)]
pub enum Error {
    /// The socket for other instances could not be opened.
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

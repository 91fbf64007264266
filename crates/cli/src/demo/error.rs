use std::{fmt, io};

/// Why the demonstration ended early.
#[derive(Debug)]
pub enum Error {
    /// A folder or socket.
    Io(io::Error),
    /// A daemon did not start.
    Daemon(daemon::Error),
    /// The generated settings are not valid.
    Settings(settings::Error),
    /// A step did not show what it must show.
    Step(String),
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Error::Io(error) => error.fmt(f),
            Error::Daemon(error) => error.fmt(f),
            Error::Settings(error) => error.fmt(f),
            Error::Step(reason) => f.write_str(reason),
        }
    }
}

impl std::error::Error for Error {}

impl From<io::Error> for Error {
    fn from(error: io::Error) -> Error {
        Error::Io(error)
    }
}

impl From<daemon::Error> for Error {
    fn from(error: daemon::Error) -> Error {
        Error::Daemon(error)
    }
}

impl From<settings::Error> for Error {
    fn from(error: settings::Error) -> Error {
        Error::Settings(error)
    }
}

impl From<String> for Error {
    fn from(reason: String) -> Error {
        Error::Step(reason)
    }
}

use {
    control::instance,
    std::{fmt, io},
};

/// Why the daemon cannot start.
#[derive(Debug)]
pub enum Error {
    /// The settings file.
    Settings(settings::Error),
    /// The replicas or the listener for other instances.
    Instance(instance::Error),
    /// The listener of the API.
    Api(io::Error),
    /// The listener of requests.
    Requests(entry::Error),
    /// The logs.
    Logs(io::Error),
    /// The metrics.
    Metrics(prometheus::Error),
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Error::Settings(error) => error.fmt(f),
            Error::Instance(error) => error.fmt(f),
            Error::Api(error) => write!(f, "cannot listen for the API: {error}"),
            Error::Requests(error) => error.fmt(f),
            Error::Logs(error) => write!(f, "cannot open the log: {error}"),
            Error::Metrics(error) => write!(f, "cannot register a metric: {error}"),
        }
    }
}

impl std::error::Error for Error {}

impl From<settings::Error> for Error {
    fn from(error: settings::Error) -> Error {
        Error::Settings(error)
    }
}

impl From<instance::Error> for Error {
    fn from(error: instance::Error) -> Error {
        Error::Instance(error)
    }
}

impl From<entry::Error> for Error {
    fn from(error: entry::Error) -> Error {
        Error::Requests(error)
    }
}

impl From<prometheus::Error> for Error {
    fn from(error: prometheus::Error) -> Error {
        Error::Metrics(error)
    }
}

use std::{fmt, io, net::SocketAddr};

/// Why a listener cannot start.
#[derive(Debug)]
pub enum Error {
    /// The address cannot be bound.
    Bind(SocketAddr, io::Error),
    /// The counters cannot be made.
    Metrics(prometheus::Error),
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Error::Bind(address, error) => write!(
                f,
                "cannot listen for requests on {address}: {error}; choose another address or end the \
                 process that uses it"
            ),
            Error::Metrics(error) => write!(f, "cannot set up the metrics of callers: {error}"),
        }
    }
}

impl std::error::Error for Error {}

use std::{fmt, io, net::SocketAddr};

/// Why a listener cannot start.
#[derive(Debug)]
pub enum Error {
    /// The address cannot be bound.
    Bind(SocketAddr, io::Error),
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Error::Bind(address, error) => write!(
                f,
                "cannot listen for requests on {address}: {error}; choose another address or end the \
                 process that uses it"
            ),
        }
    }
}

impl std::error::Error for Error {}

use std::fmt;

/// Why a configuration is rejected.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Error {
    /// A queue names a service that is not defined.
    UnknownService {
        /// Name of the queue.
        queue: String,
        /// Service name that the queue refers to.
        service: String,
    },
    /// Two queues have the same host and path prefix.
    DuplicateRoute {
        /// Name of the queue that comes first in the document.
        first: String,
        /// Name of the later queue.
        second: String,
    },
    /// The named queue has a time limit of 0.
    ZeroTimeout(String),
    /// The same API key belongs to two accounts.
    SharedKey {
        /// Name of the account that comes first in the document.
        first: String,
        /// Name of the later account.
        second: String,
    },
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Error::UnknownService { queue, service } => {
                write!(
                    f,
                    "queue {queue} names the service {service}, which is not defined"
                )
            }
            Error::DuplicateRoute { first, second } => {
                write!(
                    f,
                    "queues {first} and {second} have the same host and prefix"
                )
            }
            Error::ZeroTimeout(queue) => write!(f, "queue {queue} has a time limit of 0"),
            Error::SharedKey { first, second } => {
                write!(f, "accounts {first} and {second} share a key")
            }
        }
    }
}

impl std::error::Error for Error {}

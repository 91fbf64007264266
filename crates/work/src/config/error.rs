use std::fmt;

/// Why a configuration is refused.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Error {
    /// A queue names a service that is not defined.
    UnknownService {
        /// The queue.
        queue: String,
        /// The name it gives.
        service: String,
    },
    /// Two queues have the same host and prefix.
    DuplicateRoute {
        /// One queue.
        first: String,
        /// The other.
        second: String,
    },
    /// A queue has a time limit of zero.
    ZeroTimeout(String),
    /// Two accounts share a key.
    SharedKey {
        /// One account.
        first: String,
        /// The other.
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

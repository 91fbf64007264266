use std::{fmt, io};

/// Why a call to another instance has no answer.
#[derive(Debug)]
pub enum Error {
    /// The listener could not be bound or the thread not started.
    Bind(io::Error),
    /// No instance with this id is known.
    NoPeer(u64),
    /// Nothing was sent: there is no connection to the instance.
    NotSent(String),
    /// The call was sent and its answer did not arrive.
    NoAnswer(String),
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Error::Bind(error) => write!(f, "cannot listen for other instances: {error}"),
            Error::NoPeer(id) => write!(f, "no instance has the id {id}"),
            Error::NotSent(reason) => write!(f, "no connection to the instance: {reason}"),
            Error::NoAnswer(reason) => write!(f, "the instance did not answer: {reason}"),
        }
    }
}

impl std::error::Error for Error {}

use std::{fmt, io};

/// Why the listener did not start, or why a call to another instance has no answer.
#[derive(Debug)]
pub enum Error {
    /// The listener could not be bound, or its thread or runtime could not be started.
    Bind(io::Error),
    /// No address is known for this id; nothing was sent.
    NoPeer(u64),
    /// Nothing was sent: no connection could be opened, or the queue of calls is full or closed.
    NotSent(String),
    /// The call may have been executed, but its answer did not arrive.
    NoAnswer(String),
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Error::Bind(error) => write!(f, "cannot listen for other instances: {error}"),
            Error::NoPeer(id) => write!(f, "no address is known for the instance with the id {id}"),
            Error::NotSent(reason) => write!(f, "the call was not sent to the instance: {reason}"),
            Error::NoAnswer(reason) => write!(f, "the instance did not answer: {reason}"),
        }
    }
}

impl std::error::Error for Error {}

use std::{fmt, io};

/// Why the listener did not start, or why a call to another instance has no answer.
#[derive(Debug)]
pub enum Error {
    /// The listener could not be bound, or its thread or runtime could not be started.
    Bind(io::Error),
    /// The resolver finds no address for this id; nothing was sent.
    NoPeer(u64),
    /// Nothing was sent: the connection failed or the queue of calls is full.
    NotSent(String),
    /// The call may have been executed, but its answer did not arrive.
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

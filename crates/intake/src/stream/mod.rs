//! Connections that fail when a client sends a head too slowly or takes no answer.

mod inspect;
mod listen;
mod refuse;
mod stream;

pub(crate) use listen::BACKLOG;
pub use {inspect::Inspect, listen::listen, refuse::refuse, stream::Stream};

//! Log entries.

mod entry;
mod payload;

pub use {entry::Entry, payload::Payload};

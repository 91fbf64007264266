//! What instances ask of the leader.

mod reply;
mod request;

pub use {
    reply::{JobState, Reply},
    request::{Action, Caller, Request},
};

/// Name under which the calls travel between instances.
pub const SERVICE: &str = "work";

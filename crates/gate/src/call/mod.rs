//! Requests to the leader and its replies.

mod reply;
mod request;

pub use {
    reply::{DataCentre, JobState, Reply},
    request::{Action, Caller, Request},
};

/// Service name that marks these calls in messages between instances.
pub const SERVICE: &str = "work";

//! Messages between the replicas of a group.

mod body;
mod limit;
mod message;

pub use {body::Body, message::Message};

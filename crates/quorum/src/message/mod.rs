//! Messages between the replicas of a group.

mod body;
mod message;

pub use {body::Body, message::Message};

//! Messages between the replicas of a group.

mod body;
mod message;
mod validate;

pub use {body::Body, message::Message};

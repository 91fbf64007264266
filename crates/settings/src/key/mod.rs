//! Every key with its type, default and bounds.

mod key;
mod keys;
mod rule;

pub(crate) use keys::{child, find};
pub use {key::Key, keys::KEYS, rule::Rule};

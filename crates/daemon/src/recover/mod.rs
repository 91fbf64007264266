//! Repair of a group that has lost its quorum for good.

mod arguments;
mod error;
mod recover;

pub use {arguments::Arguments, error::Error, recover::recover};

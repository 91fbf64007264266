//! Finds the leader and repeats calls that are safe to repeat.

mod client;
mod outage;
mod outcome;
mod targets;
mod timeouts;

pub use {client::Client, outage::Outage, outcome::Outcome, targets::Targets, timeouts::Timeouts};

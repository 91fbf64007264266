//! Finds the leader and retries calls, which are all idempotent.

mod client;
mod outage;
mod outcome;
mod targets;
mod timeouts;

pub use {client::Client, outage::Outage, outcome::Outcome, targets::Targets, timeouts::Timeouts};

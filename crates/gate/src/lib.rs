//! Calls to the leader of the control group, from any instance.

pub mod call;
pub mod client;

pub use client::{Client, Outage, Outcome, Timeouts};

//! Client for calls to the leader of the control group, usable from any instance.

pub mod call;
pub mod client;

pub use client::{Client, Outage, Outcome, Timeouts};

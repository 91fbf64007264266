//! Calls to the leader of the control group, from any instance.

pub mod call;
pub mod gate;

pub use gate::{Gate, Outage, Outcome, Patience};

//! A control instance: its replica of the control group, the calls that it answers as leader, the orders that it
//! sends to upstreams, and its place among the members.

pub mod control;
pub mod leader;
pub mod state;
pub mod time;

pub use {
    control::{Control, Setup},
    leader::UpstreamClient,
};

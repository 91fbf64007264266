//! A control instance: its replica of the control group, the requests that it answers as leader, the commands that it
//! sends to upstreams, and its group membership.

pub mod control;
pub mod leader;
pub mod operator;
pub mod state;
pub mod time;

pub use {
    control::{Control, Setup},
    leader::{Observer, Permit, UpstreamClient},
};

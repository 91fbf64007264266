//! Membership of the control group, the consensus group of the control instances: ids of instances,
//! and the rules by which members join, are replaced and leave.
//!
//! Each control instance that does not lead the group keeps sending *greetings* to the leader, with
//! its id and the incarnation of its disk. From the greetings received, the leader decides which
//! change to propose.

mod change;
mod delay;
mod resolver;

pub use {
    change::{Contact, Settings, next_change},
    delay::next_check_delay,
    resolver::{IdResolver, address_of, id_of},
};

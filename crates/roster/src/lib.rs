//! Membership of the control group: ids of instances, and the rules by which members join, are replaced and leave.

mod change;
mod delay;
mod resolver;

pub use {
    change::{Contact, Settings, next_change},
    delay::next_check_delay,
    resolver::{IdResolver, address_of, id_of},
};

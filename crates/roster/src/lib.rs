//! Members of the control group: how instances are named, and when members join, replace others and leave.

mod change;
mod delay;
mod resolver;

pub use {
    change::{Contact, Settings, next_change},
    delay::next_check_delay,
    resolver::{IdResolver, address_of, id_of},
};

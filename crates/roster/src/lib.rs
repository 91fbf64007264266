//! Members of the control group: how instances are named, and when members join, replace others and leave.

mod decide;
mod directory;

pub use {
    decide::{Contact, Settings, decide},
    directory::{Directory, address, id},
};

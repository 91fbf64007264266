//! Members of the control group: how instances are named, and when members join, replace others and leave.

mod decide;
mod directory;
mod pause;

pub use {
    decide::{Contact, Settings, decide},
    directory::{Directory, address, id},
    pause::pause,
};

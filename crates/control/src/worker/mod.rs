//! Workers as a region leader knows them, and the interface by which they receive orders.

mod link;
mod registry;

pub use {
    link::{Error, Link},
    registry::{Registry, Seen},
};

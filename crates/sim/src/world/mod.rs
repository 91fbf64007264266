//! A day on a virtual clock.

mod finish;
mod happening;
mod network;
mod runs;
mod setup;
mod troubles;
mod world;

pub use {setup::Setup, world::World};

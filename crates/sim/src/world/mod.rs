//! A day on a virtual clock.

mod finish;
mod happening;
mod network;
mod processor;
mod runs;
mod setup;
mod troubles;
mod world;

pub use {processor::Processor, setup::Setup, world::World};

//! A day on a virtual clock.

mod departures;
mod deposed;
mod finish;
mod happening;
mod members;
mod network;
mod processor;
mod runs;
mod setup;
mod start_memory;
mod troubles;
mod world;

pub use {
    departures::Departures, members::Members, processor::Processor, setup::Setup, world::World,
};

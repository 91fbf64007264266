//! The workers by site and rack, their capacity, and bin packing of gangs.

mod allocation;
mod capacity;
mod fleet;
mod mask;
mod pack;

pub use {
    allocation::Allocation,
    capacity::{Capacity, Resources},
    fleet::{Fleet, Machine},
    mask::Mask,
    pack::{Filter, pack},
};

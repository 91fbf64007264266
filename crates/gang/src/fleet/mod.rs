//! Workers by site and rack, and packing of shapes onto them.

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

//! Workers by site and rack, and packing of shapes onto them.

mod fleet;
mod mask;
mod pack;
mod part;
mod room;

pub use {
    fleet::{Fleet, Machine},
    mask::Mask,
    pack::{Filter, pack},
    part::Part,
    room::{Room, Space},
};

//! Bounds that follow from the memory and the descriptors of a process.

mod limits;
mod machine;

pub use {limits::Limits, machine::Machine};

//! Request bodies as they arrive.

mod fault;
mod loaded;
mod pace;
mod room;
mod upload;

pub use {fault::Fault, loaded::Loaded, pace::Pace, room::next_room, upload::Upload};

//! The time of day that the group agrees on.

mod agreed;

pub use agreed::Agreed;

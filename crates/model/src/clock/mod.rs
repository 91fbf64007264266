//! Time, passed in as an interface.

mod clock;
mod manual;
mod system;

pub use {clock::Clock, manual::Manual, system::System};

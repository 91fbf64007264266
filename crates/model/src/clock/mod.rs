//! Time, passed in as an interface.

mod boot;
mod clock;
mod manual;
mod system;

pub use {boot::Boot, clock::Clock, manual::Manual, system::System};

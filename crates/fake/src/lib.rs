//! Stand-ins for outside systems.

pub mod upstream;

//! State that survives a restart.

mod hard;
mod snapshot;
mod stable;

pub use {hard::Hard, snapshot::Snapshot, stable::Stable};

//! State that survives a restart.

mod hard_state;
mod persistent_state;
mod snapshot;

pub use {hard_state::HardState, persistent_state::PersistentState, snapshot::Snapshot};

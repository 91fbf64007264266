//! The replicated book of an instance.

mod control_state;

pub use control_state::ControlState;

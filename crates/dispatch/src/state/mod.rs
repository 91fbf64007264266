//! The replicated state of the control group.

mod control_state;

pub use control_state::ControlState;

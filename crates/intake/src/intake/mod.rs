//! What all listeners of a process share.

mod answer;
mod intake;

pub use intake::Intake;

//! Finds the leader and repeats calls that are safe to repeat.

mod gate;
mod outcome;
mod targets;

pub use {gate::Gate, outcome::Outcome, targets::Targets};

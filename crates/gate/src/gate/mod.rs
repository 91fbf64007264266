//! Finds the leader and repeats calls that are safe to repeat.

mod gate;
mod outage;
mod outcome;
mod targets;

pub use {gate::Gate, outage::Outage, outcome::Outcome, targets::Targets};

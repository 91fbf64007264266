//! Finds the leader and repeats calls that are safe to repeat.

mod gate;
mod outage;
mod outcome;
mod patience;
mod targets;

pub use {gate::Gate, outage::Outage, outcome::Outcome, patience::Patience, targets::Targets};

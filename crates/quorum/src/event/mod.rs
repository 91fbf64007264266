//! Inputs and outputs of a replica.

mod effect;
mod event;
mod outcome;

pub use {effect::Effect, event::Event, outcome::Outcome};

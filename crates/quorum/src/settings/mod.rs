//! Tunable values of a replica.

mod fault;
mod settings;

pub use {fault::Fault, settings::Settings};

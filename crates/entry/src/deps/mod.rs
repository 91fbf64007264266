//! What the request path needs from the rest of the instance.

mod claims;
mod configuration;
mod deps;
mod observer;

pub use {
    claims::{Answer, Begin, Claims},
    configuration::Configuration,
    deps::Deps,
    observer::{Ended, Finished, Observer},
};

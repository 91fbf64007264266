//! Properties of requests that several crates need.

mod class;
mod ran;

pub use {class::Class, ran::Ran};

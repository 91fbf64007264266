//! The definition of a job, as callers submit it.

mod definition;
mod error;
mod repeat;
mod resources;
mod step;

pub use {definition::Definition, error::Error, repeat::Repeat, resources::Resources, step::Step};

//! The form in which callers submit jobs.

mod definition;
mod error;
mod repeat;
mod resources;
mod step;

pub use {definition::Definition, error::Error, repeat::Repeat, resources::Resources, step::Step};

//! The form in which callers submit jobs.

mod error;
mod form;
mod need;
mod repeat;
mod step;

pub use {error::Error, form::Form, need::Need, repeat::Repeat, step::Step};

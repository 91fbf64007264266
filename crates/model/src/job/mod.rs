//! Jobs: gangs of tasks that are placed, started and finished as a whole.

mod attempt;
mod class;
mod job;
mod spec;
mod state;

pub use {
    attempt::{Attempt, Member},
    class::Class,
    job::Job,
    spec::Spec,
    state::State,
};

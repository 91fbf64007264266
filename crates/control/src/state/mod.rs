//! The replicated state of a group: notes, jobs and claims, changed only by committed commands.

mod answer;
mod book;
mod claims;
mod command;
mod jobs;
mod state;
mod step;

pub use {
    answer::Answer,
    book::{Book, Record},
    claims::{Claim, Claims, Phase, Stored},
    command::Command,
    jobs::{Cancellation, Jobs},
    state::{Drains, State},
    step::Step,
};

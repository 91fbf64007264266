//! The replicated state: configuration, jobs, runs and upstreams.

mod apply;
mod book;
mod command;
mod job;
mod progress;

pub use {
    book::{Book, Live},
    command::{Answer, Command, Placement, Step, Void},
    job::{Job, State},
    progress::{Occurrence, Run, StepProgress, Task},
};

//! Replicated state machine: configuration, jobs, runs and upstreams.

mod apply;
mod command;
mod job;
mod occurrence;
mod registry;

pub use {
    command::{Answer, Command, Placement, Update, Void},
    job::{Job, State},
    occurrence::{Occurrence, Run, StepProgress, TaskProgress},
    registry::{Allocation, Registry},
};

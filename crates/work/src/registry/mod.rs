//! Replicated state machine: configuration, jobs, runs and upstreams.

mod apply;
mod changes;
mod command;
mod ends;
mod evacuations;
mod job;
mod losses;
mod occurrence;
mod queues;
mod registry;

pub use {
    changes::Change,
    command::{Answer, Blame, Command, Placement, Update, Void},
    evacuations::{Evacuation, Evacuations, Instruction, Order},
    job::{Job, State},
    losses::Losses,
    occurrence::{Occurrence, Run, StepProgress, TaskProgress},
    registry::{Allocation, Registry},
};

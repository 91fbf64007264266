//! Scheduler state of each job and account, and the job queues.

mod history;
mod queue;
mod record;
mod usage;

pub use {
    history::History,
    queue::{Key, Queue, Requirements},
    record::{Phase, Record},
    usage::Usage,
};

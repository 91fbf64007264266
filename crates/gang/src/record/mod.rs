//! What the scheduler keeps of each job and account.

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

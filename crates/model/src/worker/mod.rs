//! Workers and the orders they receive.

mod announcement;
mod answer;
mod order;
mod task;
mod worker;

pub use {
    announcement::Announcement,
    answer::Answer,
    order::{Action, Order},
    task::{Task, TaskState, Usage},
    worker::Worker,
};

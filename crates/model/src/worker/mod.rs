//! Workers and the orders they receive.

mod announcement;
mod order;
mod task;
mod worker;

pub use {
    announcement::Announcement,
    order::{Action, Order},
    task::{Task, TaskState, Usage},
    worker::Worker,
};

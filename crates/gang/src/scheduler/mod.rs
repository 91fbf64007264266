//! The scheduler: events in, proposals out.

mod decide;
mod explain;
mod job;
mod observe;
mod scheduler;

pub use scheduler::Scheduler;

//! The scheduler: events in, proposals out.

mod admit;
mod claim;
mod compact;
mod decide;
mod explain;
mod failures;
mod job;
mod judge;
mod observe;
mod place;
mod progress;
mod reserve;
mod scheduler;
mod turn;
mod withdraw;

pub use scheduler::Scheduler;
pub(crate) use {failures::Failures, turn::Turn};

//! The scheduler: observes events and proposes decisions.

mod admit;
mod bookings;
mod claim;
mod compact;
mod cycle;
mod decide;
mod explain;
mod failures;
mod health;
mod job;
mod observe;
mod place;
mod preview;
mod reserve;
mod scheduler;
mod withdraw;

pub use scheduler::Scheduler;
pub(crate) use {cycle::Cycle, failures::Failures};

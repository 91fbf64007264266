//! Estimates learned from runs: actual durations, the health of upstreams, and their speeds.

mod estimator;
mod fault;
mod health;
mod remaining;
mod speeds;

pub use {
    estimator::Estimator,
    fault::is_fault_of_step,
    health::Health,
    remaining::remaining,
    speeds::{Sample, Speeds},
};

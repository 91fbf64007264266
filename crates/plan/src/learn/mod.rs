//! Estimates learned from finished runs: actual durations, and the health of upstreams.

mod estimator;
mod fault;
mod health;
mod remaining;

pub use {estimator::Estimator, fault::is_fault_of_step, health::Health, remaining::remaining};

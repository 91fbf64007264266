//! Estimates learned from finished runs: actual durations, and the health of upstreams.

mod estimator;
mod health;
mod remaining;

pub use {estimator::Estimator, health::Health, remaining::remaining};

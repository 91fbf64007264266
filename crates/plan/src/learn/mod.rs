//! What is learned from runs: how long work really takes, and which upstreams fail.

mod estimator;
mod health;
mod remaining;

pub use {estimator::Estimator, health::Health, remaining::remaining};

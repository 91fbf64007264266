//! Experiments that drive the decision code with seeded arrivals on a virtual clock.

pub mod jobs;
pub mod requests;

//! Drives the groups of replicas, the controllers of jobs and the connections between instances.

pub mod peers;
pub mod state;

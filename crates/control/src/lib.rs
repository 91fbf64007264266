//! Drives the groups of replicas, the controllers of jobs and the connections between instances.

pub mod fault;
pub mod follow;
pub mod group;
pub mod instance;
pub mod jobs;
pub mod state;
pub mod worker;

pub use ::peers;

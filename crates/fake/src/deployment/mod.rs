//! Settings of small deployments on loopback.

mod deployment;

pub use deployment::Deployment;

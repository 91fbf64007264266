//! Demonstration: a small whole system in one process on loopback.

mod cluster;
mod error;
mod platform;
mod story;

pub use {cluster::Cluster, error::Error, platform::Platform, story::run};

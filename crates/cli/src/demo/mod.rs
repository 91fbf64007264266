//! Demonstration: a small whole system in one process on loopback.

mod cluster;
mod error;
mod story;

pub use {cluster::Cluster, error::Error, story::run};

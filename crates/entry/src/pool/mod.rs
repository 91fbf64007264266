//! Connections to upstreams: one request at a time each, bounded, reused only while beyond doubt.

mod lease;
mod pool;
mod socket;

pub(crate) use {lease::Lease, pool::Pool};

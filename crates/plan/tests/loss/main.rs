//! Upstreams that crash, that cannot be reached, or whose capacity changes.

mod capacity;
mod cluster;
mod crash;
mod cut;

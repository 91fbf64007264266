//! Runs that are lost with their upstream, or with the connection to it.

mod cluster;
mod crash;
mod cut;

//! Upstreams that crash, that cannot be reached, on which tasks fail, or whose capacity changes, and gangs that have lost
//! a member.

mod capacity;
mod cluster;
mod crash;
mod cut;
mod failure;
mod gang;
mod waiting;

//! Jobs of steps on upstreams: their form, and the replicated book of configuration, jobs, runs and upstreams.
//!
//! Everything here is deterministic and performs no I/O. [`registry::Registry`] applies [`registry::Command`]s, which the
//! leader of the control group commits; what runs where is decided by the crate `plan`.

pub mod config;
pub mod id;
pub mod job;
pub mod registry;
pub mod upstream;

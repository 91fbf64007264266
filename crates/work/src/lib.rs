//! Jobs of steps on upstreams: their definition, and the replicated registry of configuration, jobs, runs and
//! upstreams.
//!
//! Everything here is deterministic and performs no I/O. [`registry::Registry`] applies [`registry::Command`]s, which the
//! leader of the control group commits; the crate `plan` decides what runs where.

pub mod collections;
pub mod config;
pub mod id;
pub mod job;
pub mod registry;
pub mod upstream;

//! Domain types shared by every crate: client accounts, places, shapes, notes, jobs, workers and upstreams.
//!
//! Nothing here performs I/O. Time is read through [`clock::Clock`].

pub mod account;
pub mod clock;
pub mod config;
pub mod job;
pub mod note;
pub mod place;
pub mod request;
pub mod shape;
pub mod upstream;
pub mod worker;

//! The configuration that results from the accepted notes.

mod config;
mod fault;

pub use {config::Config, fault::Fault};

//! A running daemon.

mod daemon;
mod error;
mod options;

pub use {daemon::Daemon, error::Error, options::Options};

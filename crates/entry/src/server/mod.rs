//! The listener and its end.

mod error;
mod guarded;
mod server;

pub use {
    error::Error,
    server::{Leftover, Server},
};

//! The listener and its end.

mod error;
mod framing;
mod guarded;
mod server;

pub use {
    error::Error,
    server::{Leftover, Server},
};

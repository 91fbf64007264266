//! The listener and its end.

mod error;
mod framing;
mod server;

pub use {
    error::Error,
    server::{Leftover, Server},
};

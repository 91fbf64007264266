//! The daemon: settings, HTTP API, request listener, replicas and logs put together.

pub mod api;
pub mod daemon;
pub mod link;
pub mod logs;
pub mod metrics;
pub mod requests;

pub use daemon::{Daemon, Error, Options};

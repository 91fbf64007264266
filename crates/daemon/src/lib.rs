//! The daemon: settings, HTTP API, request listener, replicas and logs put together.

pub mod api;
pub mod link;
pub mod logs;

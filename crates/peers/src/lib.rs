//! RPC between instances: capnp-rpc over TCP, served by one dedicated thread.

mod call;
mod error;
mod handler;
mod link;
mod peers;
mod resolver;
mod server;

pub use {
    error::Error,
    handler::{Handler, Reply},
    peers::Peers,
    resolver::Resolver,
};

//! The connections between instances: capnp-rpc over TCP on one thread of their own.

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

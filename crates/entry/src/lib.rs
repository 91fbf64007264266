//! Request listener of an instance: a chain of filters between callers and upstreams.

mod body;
mod call;
pub mod deps;
mod desk;
mod filter;
mod pool;
mod refusal;
mod server;
mod settings;

pub use {
    deps::{Answer, Begin, Claims, Configuration, Deps, Ended, Finished, Observer},
    desk::Desk,
    server::{Error, Leftover, Server},
    settings::Settings,
};

//! HTTP/1.1 server whose clients are bounded.

mod response;
mod server;

pub use {
    response::{Response, refusal, response, retry_response},
    server::{Body, Handler, Server},
};

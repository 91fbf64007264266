//! Orders to workers over HTTP.

mod http;

pub use http::Http;

//! A set of stand-in workers and upstreams.

mod platform;

pub use platform::Platform;

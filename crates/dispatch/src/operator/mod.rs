//! Calls of operators over HTTP, in the project's own interface.

mod call;

pub use call::{Answer, Call};

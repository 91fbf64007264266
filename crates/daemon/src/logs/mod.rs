//! Structured logs: one line of key=value pairs for each event.

mod logs;

pub use logs::open;

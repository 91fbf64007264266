//! Bounds on what the clients of a process may use: connections, heads, bodies and answers that they do not read.
//!
//! `limits`, `connection::Table`, `budget::Ledger` and `upload::Pace` decide without I/O. See
//! `docs/design/untrusted-clients.md`.

pub mod budget;
pub mod connection;
pub mod http;
mod intake;
pub mod limits;
pub mod meter;
pub mod stream;
pub mod upload;

pub use {
    connection::{Connection, Connections},
    intake::Intake,
    limits::{Limits, Machine},
    meter::Meter,
    stream::Stream,
    upload::{Fault, Loaded, Upload},
};

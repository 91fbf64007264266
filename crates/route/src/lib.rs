//! Decisions of the request path of one instance, as pure code.
//!
//! No module here opens a socket, starts a thread or reads a clock: every call receives the time. Messages
//! between instances derive serde.

pub mod claim;
pub mod faults;
pub mod limit;
pub mod member;
pub mod queue;
pub mod retry;
pub mod router;
pub mod share;

pub use router::{Action, Event, Head, Outcome, Reason, Refusal, Router, Settings};

//! Routing of requests on one instance: admission, queueing, choice of the upstream, retries and hedges.
//!
//! The code does no I/O: it opens no socket, starts no thread and reads no clock; callers pass the time.
//! Messages between instances derive serde.

pub mod claim;
pub mod faults;
pub mod limit;
pub mod member;
pub mod queue;
pub mod retry;
pub mod router;
pub mod share;

pub use router::{Action, Event, Head, Outcome, Preview, Reason, Refusal, Router, Settings};

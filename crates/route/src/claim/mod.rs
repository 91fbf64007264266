//! Claims of non-idempotent requests, by idempotency key: each request runs at most once.

mod state;
mod table;

pub use {
    state::{Answer, State},
    table::{MAX_KEPT_BODY_BYTES, RETENTION, Record, Reply, Table},
};

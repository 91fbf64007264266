//! Claims of non-idempotent requests: the state machine behind "at most once".

mod ledger;
mod state;

pub use {
    ledger::{Begin, Ledger, MAX_KEPT_BODY_BYTES, RETENTION, Record},
    state::{Answer, State},
};

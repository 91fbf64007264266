//! Claims of non-idempotent requests: the state machine behind "at most once".

mod ledger;
mod state;

pub use {
    ledger::{Begin, KEPT_BYTES, KEPT_TIME, Ledger, Record},
    state::{Answer, State},
};

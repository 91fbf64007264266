//! What the scheduler keeps of each job and account.

mod account;
mod history;
mod queue;
mod record;

pub use {
    account::Ledger,
    history::History,
    queue::{Ask, Key, Queue},
    record::{Phase, Record},
};

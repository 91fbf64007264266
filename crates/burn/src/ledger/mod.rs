//! Counters of good and bad events.

mod event;
mod ledger;
mod reasons;
mod series;
mod snapshot;
mod tier;

pub(crate) use tier::{TIERS, tier_of};
pub use {
    event::{Event, Outcome},
    ledger::Ledger,
    snapshot::{Counts, Reason, Snapshot},
};

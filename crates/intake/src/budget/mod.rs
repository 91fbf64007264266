//! Memory that several owners share, and who loses it when it is used up.

mod budget;
mod ledger;
mod reservation;

pub(crate) use budget::Kind;
pub use {
    budget::Budget,
    ledger::{Ledger, Outcome},
    reservation::Reservation,
};

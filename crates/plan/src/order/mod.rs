//! Which work is ready, and in which order it is considered.

mod rank;
mod strategy;
mod unit;
mod units;

pub use {
    rank::Rank,
    strategy::Strategy,
    unit::Unit,
    units::{guaranteed_accounts, ready_units},
};

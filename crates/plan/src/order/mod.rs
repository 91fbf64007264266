//! Which work is ready, and the order in which it is considered.

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

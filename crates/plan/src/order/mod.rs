//! Which work is ready, and in which order it is considered.

mod rank;
mod unit;
mod units;

pub use {
    rank::Rank,
    unit::Unit,
    units::{guaranteed_accounts, units},
};

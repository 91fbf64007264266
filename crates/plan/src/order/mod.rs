//! Which work is ready, and in which order it is considered.

mod policy;
mod rank;
mod unit;
mod units;

pub use {
    policy::Policy,
    rank::Rank,
    unit::Unit,
    units::{guaranteed_accounts, units},
};

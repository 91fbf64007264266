//! Client accounts and what they are promised.

mod account;
mod guarantee;
mod objective;

pub use {
    account::Account,
    guarantee::Guarantee,
    objective::{Measure, Objective},
};

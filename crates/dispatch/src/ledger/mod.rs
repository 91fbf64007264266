//! The replicated book of an instance.

mod ledger;

pub use ledger::Ledger;

//! The configuration as each instance sees it, and what the config leader knows of its followers.

mod follower;
mod ledger;

pub use {follower::Follower, ledger::Ledger};

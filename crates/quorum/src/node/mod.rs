//! One replica.

mod commit;
mod contact;
mod election;
mod flights;
mod follow;
mod handover;
mod lead;
mod node;
mod persist;
mod progress;
mod propose;
mod replicate;
mod role;
mod transfer;

pub use node::Node;
use {
    flights::Flights,
    lead::{Handover, Lead, Waiting},
    progress::{Mode, Progress},
    replicate::is_overdue,
    role::Role,
    transfer::Partial,
};

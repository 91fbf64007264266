//! One replica.

mod commit;
mod contact;
mod election;
mod follow;
mod handover;
mod inflight;
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
    inflight::Inflight,
    lead::{Handover, Lead, PendingRead},
    progress::{Mode, Progress},
    replicate::is_overdue,
    role::Role,
    transfer::Partial,
};

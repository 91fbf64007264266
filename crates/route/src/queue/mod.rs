//! Queues of waiting requests, one per account, class and service. Each queue is in deadline order; accounts
//! share the slots by weighted fair queueing.

mod queue;
mod queues;

pub use {
    queue::{Key, Waiting},
    queues::{Limits, Queues, Slots},
};

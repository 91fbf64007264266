//! Waiting requests: per account, class and service, in deadline order, served fairly.

mod queue;
mod queues;

pub use {
    queue::{Key, Waiting},
    queues::{Limits, Queues, Slots},
};

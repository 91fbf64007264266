//! Waiting requests: per account, class and service, in deadline order, served fairly.

mod lane;
mod queues;

pub use {
    lane::{Key, Waiting},
    queues::{Limits, Queues, Seats},
};

//! Configurations: queues, services and client accounts under a version.

mod account;
mod config;
mod fault;
mod queue;
mod service;

pub use {
    account::Account,
    config::{Config, Limits, Match},
    fault::Fault,
    queue::{Advice, Queue},
    service::Service,
};

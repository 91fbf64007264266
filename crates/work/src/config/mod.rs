//! Versioned configuration: queues, services and client accounts.

mod account;
mod config;
mod error;
mod queue;
mod service;

pub use {
    account::Account,
    config::{Config, Limits, Match},
    error::Error,
    queue::{Advice, Queue},
    service::Service,
};

//! One running instance: its replicas, controllers and knowledge of the others.

mod counts;
mod error;
mod exchange;
mod handler;
mod instance;
mod leader;
mod loops;
mod query;
mod report;
mod setup;

pub use {
    error::Error,
    exchange::Exchange,
    instance::Instance,
    query::{Force, Query, WorkerView},
    report::Report,
    setup::{Place, Setup},
};

//! One running instance: its replicas, controllers and knowledge of the others.

mod calls;
mod counts;
mod error;
mod exchange;
mod gauges;
mod handler;
mod instance;
mod leader;
mod loops;
mod query;
mod report;
mod setup;

pub use {
    calls::{Calls, Count, Method},
    error::Error,
    exchange::Exchange,
    gauges::{CONDITIONS, Gauges},
    instance::Instance,
    query::{Force, Query, WorkerView},
    report::Report,
    setup::{Place, Setup},
};

//! Bodies on their way in both directions.

mod outgoing;
mod relay;
mod source;

pub(crate) use {
    outgoing::Outgoing,
    relay::{Parts, Relay, Reply},
    source::{Fault, Source},
};

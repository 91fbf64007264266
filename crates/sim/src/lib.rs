//! A model of upstreams, callers and faults on a virtual clock, for testing and measuring the decisions of `plan`.
//!
//! The engine and the replicated registry are the real ones. Everything that they talk to is modelled: upstreams with
//! leases, fencing and late orders, the delay of commits, changes of the leader, and callers with a load. An oracle
//! looks at what upstreams see and reports each broken promise.

mod load;
mod oracle;
mod report;
mod trouble;
mod truth;
mod upstream;
mod world;

pub use {
    load::{Arrival, Kind, Load},
    oracle::{Breach, Oracle},
    report::{Report, Tally},
    trouble::{Farewell, Faults, Trouble},
    truth::Truth,
    upstream::{Nature, Run, Upstream},
    world::{Departures, Members, Processor, Setup, World},
};

//! Seeded in-memory group: network, disks, clocks, clients and faults on virtual time.

mod client;
mod disk;
mod machine;
mod nemesis;
mod operator;
mod oracle;
pub mod register;
mod replica;
mod world;

pub use world::{Stats, run};
use {
    client::Client,
    disk::Disk,
    machine::Machine,
    operator::{Operator, Task},
    oracle::Oracle,
    replica::Replica,
    world::{Item, World},
};

/// One millisecond of virtual time.
const MS: u64 = 1_000;

//! Seeded simulation of a group in virtual time, with network, disks, clocks, clients and faults.

mod client;
mod disk;
pub mod linearizability;
mod nemesis;
mod operator;
mod oracle;
mod replica;
mod simulation;
mod state_machine;

pub use simulation::{Stats, run};
use {
    client::Client,
    disk::Disk,
    operator::{Operator, Task},
    oracle::Oracle,
    replica::{NORMAL_DISK_LATENCY, Replica},
    simulation::{NORMAL_MAX_DELAY, ScheduledEvent, Simulation},
    state_machine::StateMachine,
};

/// One millisecond of virtual time, in microseconds.
const MS: u64 = 1_000;

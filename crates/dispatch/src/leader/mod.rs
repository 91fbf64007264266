//! Control of runs: drives the engine and performs its effects while this instance leads.

mod driver;
mod observer;
mod speed_memory;
mod start_memory;
mod step_times;
mod term_engine;
mod upstream_client;

pub use {
    driver::Driver,
    observer::Observer,
    start_memory::StartMemory,
    term_engine::TermEngine,
    upstream_client::{Permit, UpstreamClient},
};
pub(crate) use {driver::Input, speed_memory::SpeedMemory};

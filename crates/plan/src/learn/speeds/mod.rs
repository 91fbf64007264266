//! Speeds of upstreams, learned from the progress of their runs.

mod fleet;
mod record;
mod sample;
mod speeds;
mod step_work;

pub use {sample::Sample, speeds::Speeds};

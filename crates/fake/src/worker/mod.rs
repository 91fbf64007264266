//! A stand-in worker: holds accelerators, runs tasks that only wait, and obeys leases and tokens.

mod script;
mod server;
mod tasks;
mod worker;

pub use {script::Script, tasks::Tasks, worker::Worker};

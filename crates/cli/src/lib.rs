//! Operators' and callers' command line.
//!
//! [`run`] executes one command. The parts are [`client`] (calls with safe resends over several
//! instances), [`document`] (checks of files without a server) and the commands themselves.

pub mod api;
pub mod client;
pub mod console;
pub mod demo;
pub mod document;

mod command;
mod context;
mod error;
mod exit;
mod run;
mod story;

pub use {error::Error, exit::Exit, run::run};

//! The controller of jobs: carries out the scheduler's decisions through the log and the workers.

mod context;
mod controller;
mod gang;
mod lead;
mod orders;
mod settings;

pub use {context::Context, controller::Controller, settings::Settings};

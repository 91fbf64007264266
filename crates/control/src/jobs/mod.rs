//! The controller of jobs: carries out the scheduler's decisions through the log and the workers.

mod context;
mod controller;
mod findings;
mod gang;
mod lead;
mod observer;
mod orders;
mod settings;

pub(crate) use controller::NOT_SETTLED;
pub use {
    context::Context, controller::Controller, findings::Findings, observer::Observer,
    settings::Settings,
};

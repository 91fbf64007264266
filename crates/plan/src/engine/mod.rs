//! The leader's view of the upstreams and of the runs on them.

mod advice;
mod drain;
mod effect;
mod engine;
mod event;
mod hold;
mod planning;
mod runs;
mod session;
mod settings;
mod tracked_run;

pub use {
    drain::Drain,
    effect::{Effect, Hold, Start, Stop, Target},
    engine::Engine,
    event::{Event, Failure, Listing, Refusal, Running},
    settings::Settings,
};

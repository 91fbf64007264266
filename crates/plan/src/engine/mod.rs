//! The leader's view of the upstreams and of the runs on them.

mod advice;
mod departure;
mod effect;
mod engine;
mod event;
mod hold;
mod planning;
mod runs;
mod session;
mod settings;
mod track;

pub use {
    departure::Departure,
    effect::{Effect, Hold, Start, Stop, Target},
    engine::Engine,
    event::{Event, Failure, Held, Refusal, Running},
    settings::Settings,
};

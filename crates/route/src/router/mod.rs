//! All decisions about the requests of one instance.

mod action;
mod demand;
mod event;
mod flight;
mod head;
mod router;
mod seat;
mod settings;

pub use {
    action::{Action, Reason, Refusal},
    event::{Event, Outcome},
    head::Head,
    router::Router,
    settings::Settings,
};

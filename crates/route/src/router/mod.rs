//! All decisions about the requests of one instance.

mod action;
mod admission;
mod demand;
mod dispatch;
mod ending;
mod event;
mod flight;
mod head;
mod pool;
mod router;
mod seat;
mod settings;
mod upkeep;

pub use {
    action::{Action, Reason, Refusal},
    event::{Event, Outcome},
    head::Head,
    router::Router,
    settings::Settings,
};

/// Longest time between two ticks while requests are known.
const TICK: std::time::Duration = std::time::Duration::from_millis(10);

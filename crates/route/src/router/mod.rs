//! All decisions about the requests of one instance.

mod action;
mod admission;
mod completion;
mod demand;
mod dispatch;
mod event;
mod head;
mod pending;
mod pool;
mod router;
mod settings;
mod tick;
mod upstream;

pub use {
    action::{Action, Reason, Refusal},
    event::{Event, Outcome},
    head::Head,
    router::Router,
    settings::Settings,
};

/// Longest time between two ticks while requests are known.
const TICK: std::time::Duration = std::time::Duration::from_millis(10);

//! The router of one instance: a state machine that takes events and returns actions.

mod action;
mod admission;
mod completion;
mod demand;
mod dispatch;
mod event;
mod head;
mod pending;
mod pool;
mod preview;
mod router;
mod settings;
mod tick;
mod unresolved;
mod upstream;

pub use {
    action::{Action, Reason, Refusal},
    event::{Event, Outcome},
    head::Head,
    preview::Preview,
    router::Router,
    settings::Settings,
};

/// Longest time between two ticks while any request is pending.
const TICK_INTERVAL: std::time::Duration = std::time::Duration::from_millis(10);

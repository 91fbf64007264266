//! A replica of a consensus group: runs a [`quorum::Node`] and connects it to disk, peers and replicated state.

pub mod codec;
mod driver;
mod error;
mod group;
mod input;
mod state_machine;
mod transport;
mod view;

pub use {
    error::Error,
    group::{Group, Setup},
    state_machine::StateMachine,
    transport::Transport,
    view::View,
};

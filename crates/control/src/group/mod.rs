//! A replica of a group: drives one consensus state machine with its disk, peers and replicated state.

mod codec;
mod driver;
mod error;
mod group;
mod input;
mod view;

pub use {
    error::Error,
    group::{Group, Setup},
    view::View,
};

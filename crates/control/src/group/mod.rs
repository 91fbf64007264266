//! A replica of a group: drives one consensus state machine with its disk, peers and replicated state.

mod codec;
mod driver;
mod error;
mod group;
mod input;
mod recover;
mod view;

pub use {
    error::Error,
    group::{Group, Setup},
    recover::{Held, Recovery},
    view::View,
};

//! A replica of a group: drives one consensus state machine with its disk, peers and replicated state.

pub mod codec;
mod driver;
mod error;
mod group;
mod input;
mod machine;
mod post;
mod view;

pub use {
    error::Error,
    group::{Group, Setup},
    machine::Machine,
    post::Post,
    view::View,
};

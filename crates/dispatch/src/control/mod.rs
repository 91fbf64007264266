//! A running control instance.

mod answer;
mod control;
mod error;
mod greet;
mod handler;
mod replica;
mod setup;

pub use {control::Control, error::Error, replica::Replica, setup::Setup};

//! A replica of a group of the control plane: its replicated state and the repair of its disk.

mod group;
mod recover;

pub use {
    group::{Group, Setup},
    recover::{Held, Recovery},
    replica::{Error, View},
};

//! Settings of an instance, read from a file of JSON with comments.
//!
//! [`Settings::open`] reports all faults of a file at once, each with its line and what would be
//! right. Every key is listed in [`KEYS`] and described in `docs/settings.md`.

mod error;
mod key;
mod parse;
mod settings;

pub use {
    error::{Error, Fault},
    key::{KEYS, Key, Rule},
    settings::{Api, Data, Instance, Level, Listen, Logs, Member, Requests, Settings, Timing},
};

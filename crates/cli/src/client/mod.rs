//! HTTP client that tries several instances and knows what a lost answer means.

mod attempts;
mod call;
mod client;
mod error;
mod settings;

pub(crate) use settings::seconds;
pub use {
    attempts::{Attempts, Seen, Step, Verdict},
    call::{Answer, Call},
    client::Client,
    error::Error,
    settings::Settings,
};

//! A JSON client for announcements.

mod client;

pub use client::{Answer, Client, Fault};

//! What is learned from runs: how long work really takes, and which upstreams fail.

mod health;
mod pace;
mod rest;

pub use {health::Health, pace::Pace, rest::rest};

//! Admission control: measured service times, predicted waits, and a concurrency limit per upstream.

mod concurrency;
mod latency;
mod predict;
mod standing_queue;

pub use {
    concurrency::Concurrency,
    latency::Latency,
    predict::{Decision, Forecast, decide},
    standing_queue::StandingQueue,
};

//! Admission control: measured service times, predicted waits, and a concurrency limit per upstream.

mod concurrency;
mod latency;
mod predict;
mod standing;

pub use {
    concurrency::Concurrency,
    latency::Latency,
    predict::{Forecast, Verdict, judge},
    standing::Standing,
};

//! How much work is let in: measured service times, predicted waits, and a limit per upstream.

mod latency;
mod pace;
mod predict;
mod standing;

pub use {
    latency::Latency,
    pace::Pace,
    predict::{Forecast, Verdict, judge},
    standing::Standing,
};

//! The time of day that the group agrees on.

mod median_clock;

pub use median_clock::MedianClock;

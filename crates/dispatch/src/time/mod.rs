//! The time of day of the control group.

mod median_clock;

pub use median_clock::MedianClock;

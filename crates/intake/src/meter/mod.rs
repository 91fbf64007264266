//! Counters and log lines about clients that were limited.

mod meter;
mod reason;
mod throttle;

pub use {meter::Meter, reason::Reason, throttle::Throttle};

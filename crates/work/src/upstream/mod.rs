//! Upstreams as they register, and the ends of runs that they report.

mod end;
mod numbered_report;
mod speed;
mod start_report;
mod upstream;

pub use {
    end::{End, Outcome},
    numbered_report::NumberedReport,
    speed::Speed,
    start_report::{OpenStart, StartReport},
    upstream::Upstream,
};

//! Upstreams as they register, and the ends of runs that they report.

mod end;
mod upstream;

pub use {
    end::{End, Outcome},
    upstream::Upstream,
};

//! Upstreams as they describe themselves, and the ends of runs that they list.

mod end;
mod upstream;

pub use {
    end::{End, Outcome},
    upstream::Upstream,
};

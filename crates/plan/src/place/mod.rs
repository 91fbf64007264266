//! Which upstreams take the tasks of a unit.

mod fit;
mod host;

pub use {
    fit::{Reach, candidates, fit, gang, single},
    host::{Host, Room},
};

//! Which upstreams take the tasks of a unit.

mod fit;
mod host;

pub use {
    fit::{Reach, candidates, could_be_near, fit, gang, single},
    host::{Host, Room},
};

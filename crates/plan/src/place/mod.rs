//! Placement: which upstreams take the tasks of a unit.

mod fit;
mod host;

pub use {
    fit::{Locality, best_fit, candidates, could_be_near, gang, single},
    host::{Availability, Host},
};

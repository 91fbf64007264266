//! Placement: which upstreams take the tasks of a unit.

mod fit;
mod host;

pub use {
    fit::{Locality, candidates, could_be_near, fit, gang, single},
    host::{Availability, Host},
};

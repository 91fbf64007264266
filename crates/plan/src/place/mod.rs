//! Placement: which upstreams take the tasks of a unit.

mod attempts;
mod fit;
mod host;
mod like_speed;

pub use {
    attempts::Attempts,
    fit::{Locality, best_fit, candidates, could_be_near, fill, gang, single},
    host::{Availability, Host},
    like_speed::{SPEED_CLASSES, is_late, is_slow, speed_class},
};

//! Which running work to stop, or to wait for, so that a gang gets a place.

mod booking;
mod holder;
mod plan;

pub use {
    booking::{Booking, Kind},
    holder::{Cost, Holders},
    plan::{Plan, Search},
};

//! Selection of the running jobs to reclaim, or to wait for, so that a gang fits.

mod booking;
mod holder;
mod plan;

pub use {
    booking::{Booking, Kind},
    holder::{Cost, Holders},
    plan::{Plan, Search},
};

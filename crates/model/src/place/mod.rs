//! Regions, data centres and the permission to use them.

mod error;
mod permit;
mod place;
mod site;

pub use {
    error::Error,
    permit::permits,
    place::{Place, is_name},
    site::Site,
};

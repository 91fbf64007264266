//! Division of the upstreams' slots among instances by leases: the leader of a region runs a granter, and each
//! instance a holder per region.

mod grant;
mod granter;
mod holder;
mod report;

pub use {
    grant::{Grant, Share},
    granter::{Capacity, Granter},
    holder::Holder,
    report::{Report, Row},
};

use std::time::Duration;

/// Duration of a lease. The holder counts it from the time at which it sent its report.
pub const LEASE: Duration = Duration::from_secs(3);

/// Time that the granter adds to [`LEASE`] before it counts a lease as ended, for 5% of clock drift.
pub const DRIFT: Duration = Duration::from_millis(150);

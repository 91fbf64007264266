//! Leased shares of the upstreams' slots: a granter run by the region leader, a holder run by each instance.

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

/// Time for which a grant holds, counted by the holder from the sending of its report.
pub const LEASE: Duration = Duration::from_secs(3);

/// Time that the granter adds to [`LEASE`] before it counts a lease as ended: 5% clock drift.
pub const DRIFT: Duration = Duration::from_millis(150);

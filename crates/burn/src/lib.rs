//! Recording and reporting of service levels.
//!
//! Each instance counts good and bad events of the objectives of its configuration in a [`Ledger`].
//! [`Report`] merges the snapshots of several ledgers and compares them with the objectives. Nothing
//! here performs I/O; times are passed in.

mod ledger;
mod report;

pub use {
    ledger::{Counts, Event, Ledger, Outcome, Reason, Snapshot},
    report::{
        Budget, Burn, Line, Point, Report, Severity, Source, Status, Window, printable,
        printable_lines, span, utc,
    },
};

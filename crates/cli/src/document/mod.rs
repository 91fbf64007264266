//! Files of JSON with comments: reading within bounds, faults with file and line, checks and
//! differences of notes and configurations.

mod check;
mod diff;
mod document;
mod fault;
mod outline;
mod subject;

pub use {
    check::check,
    diff::{Difference, diff},
    document::Document,
    fault::{Fault, Severity},
    outline::Outline,
    subject::Subject,
};

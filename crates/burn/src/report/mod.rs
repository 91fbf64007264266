//! Comparison of counts with objectives, and its output.

mod line;
mod page;
mod plot;
mod report;
mod source;
mod text;
mod window;
mod words;

pub use {
    line::{Budget, Line, Point, Status},
    report::Report,
    source::Source,
    window::{Burn, Severity, Window},
    words::{printable, printable_lines, span, utc},
};

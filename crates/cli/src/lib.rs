//! Operators' and callers' command line.

pub mod demo;

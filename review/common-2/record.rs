//! The record of a script.

use std::{fmt::Write as _, sync::Mutex, time::Instant};

/// What happened, in order, and the rules that it breaks.
pub struct Record {
    pub start: Instant,
    pub lines: Mutex<String>,
}

impl Record {
    pub fn ms(&self) -> u128 {
        self.start.elapsed().as_millis()
    }

    pub fn add(&self, line: impl AsRef<str>) {
        let mut lines = self.lines.lock().unwrap();
        let _ = writeln!(lines, "{:>7} ms  {}", self.ms(), line.as_ref());
    }
}

//! Demonstration of the scheduler in one process.

use std::process::ExitCode;

/// Runs the demonstration and returns the exit status of the command.
pub fn run() -> ExitCode {
    eprintln!("demo: not part of this build; nothing was run");
    ExitCode::FAILURE
}

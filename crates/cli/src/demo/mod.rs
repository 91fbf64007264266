//! Demonstration of the scheduler in one process.

use crate::error::Error;

/// Runs the demonstration.
pub fn run() -> Result<(), Error> {
    Err(Error::Refused(
        "this build has no demonstration; nothing was run".to_owned(),
    ))
}

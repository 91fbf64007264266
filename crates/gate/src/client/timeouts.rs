use std::time::Duration;

/// Timeouts of a call to the leader.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Timeouts {
    /// Applies while it is certain that the call was not carried out, so that it can be refused.
    pub not_run: Duration,
    /// Applies once an instance may have carried it out. The caller could only repeat the call, so it is better to wait
    /// for the answer.
    pub unknown: Duration,
}

impl From<Duration> for Timeouts {
    fn from(timeout: Duration) -> Timeouts {
        Timeouts {
            not_run: timeout,
            unknown: timeout,
        }
    }
}

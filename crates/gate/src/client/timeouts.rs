use std::time::Duration;

/// How long a call looks for an answer of the leader.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Timeouts {
    /// While it is certain that the call was not carried out, so that it can be refused.
    pub not_run: Duration,
    /// Once an instance may have carried it out. Its caller can only ask again, so it is worth waiting for the answer.
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

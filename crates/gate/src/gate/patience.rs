use std::time::Duration;

/// How long a call looks for an answer of the leader.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Patience {
    /// While it is certain that the call was not carried out, so that it can be refused.
    pub refusable: Duration,
    /// Once an instance may have carried it out. Its caller can only ask again, so it is worth waiting for the answer.
    pub uncertain: Duration,
}

impl From<Duration> for Patience {
    fn from(both: Duration) -> Patience {
        Patience {
            refusable: both,
            uncertain: both,
        }
    }
}

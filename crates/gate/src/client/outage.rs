use {super::Timeouts, std::time::Duration};

/// Silence of the leader after which calls are refused early. A leader that can be reached is asked for a sign of
/// life after 0.9 s, and most elections end within 1.4 s, so a longer silence means that there is none.
const OUTAGE_THRESHOLD: Duration = Duration::from_millis(1500);

/// Time that a call gets during an outage: enough for an answer if the leader has just come back.
const OUTAGE_TIMEOUT: Duration = Duration::from_millis(250);

/// Longest pause that a refused caller is asked for. A restart of the whole group takes a few seconds.
const MAX_RETRY_AFTER: Duration = Duration::from_secs(4);

/// How long the leader has been silent, and what follows for callers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Outage {
    /// Time since the leader last answered; none if it never has.
    pub since_last_answer: Option<Duration>,
}

impl Outage {
    /// How long a call may look for the leader. During an outage it is refused early if that is certain to be true,
    /// while its caller still has time to come back.
    pub fn timeouts(self, normal: Duration) -> Timeouts {
        match self.since_last_answer {
            Some(elapsed) if elapsed >= OUTAGE_THRESHOLD => Timeouts {
                not_run: normal.min(OUTAGE_TIMEOUT),
                unknown: normal,
            },
            _ => normal.into(),
        }
    }

    /// Pause that a refused caller is asked for. It grows with the outage, so that a caller's few retries last
    /// longer than the outage and the calls that wait do not come back all at once.
    pub fn retry_after(self) -> Duration {
        let elapsed = self.since_last_answer.unwrap_or_default();
        let seconds = (elapsed / 2).as_secs_f64().ceil();
        Duration::from_secs_f64(seconds).clamp(Duration::from_secs(1), MAX_RETRY_AFTER)
    }
}

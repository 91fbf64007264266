use {super::Timeouts, std::time::Duration};

/// Silence of the leader after which calls are refused early. A leader that can be reached is asked for a sign of
/// life after 0.9 s, and most elections end within 1.4 s, so a longer silence means that there is none.
const OUTAGE: Duration = Duration::from_millis(1500);

/// Time that a call gets during an outage: enough for an answer if the leader has just come back.
const BRIEF: Duration = Duration::from_millis(250);

/// Longest pause that a refused caller is asked for. A restart of the whole group takes a few seconds.
const LONGEST_PAUSE: Duration = Duration::from_secs(4);

/// How long the leader has been silent, and what follows for callers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Outage {
    /// Time since the leader last answered; none if it never has.
    pub since_last_answer: Option<Duration>,
}

impl Outage {
    /// How long a call may look for the leader. During an outage it is refused early if that is certain to be true,
    /// while its caller still has time to come back.
    pub fn timeouts(self, usual: Duration) -> Timeouts {
        match self.since_last_answer {
            Some(silence) if silence >= OUTAGE => Timeouts {
                not_run: usual.min(BRIEF),
                unknown: usual,
            },
            _ => usual.into(),
        }
    }

    /// Pause that a refused caller is asked for. It grows with the outage, so that a caller's few retries last
    /// longer than the outage and the calls that wait do not come back all at once.
    pub fn retry_after(self) -> Duration {
        let silence = self.since_last_answer.unwrap_or_default();
        let seconds = (silence / 2).as_secs_f64().ceil();
        Duration::from_secs_f64(seconds).clamp(Duration::from_secs(1), LONGEST_PAUSE)
    }
}

use {super::Timeouts, std::time::Duration};

/// Time without an answer of the leader after which calls are refused early. Entry instances ping the leader after
/// 0.9 s without an answer, and most elections end within 1.4 s, so a longer time means that there is no leader.
const OUTAGE_THRESHOLD: Duration = Duration::from_millis(1500);

/// Timeout of a call during an outage: enough for an answer if the leader has just come back.
const OUTAGE_TIMEOUT: Duration = Duration::from_millis(250);

/// Upper bound of the retry delay. A restart of the whole group takes a few seconds.
const MAX_RETRY_AFTER: Duration = Duration::from_secs(4);

/// Time without an answer of the leader, and the timeouts and retry delays that follow from it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Outage {
    /// Time since the leader last answered; `None` if it never has, which counts as no outage.
    pub since_last_answer: Option<Duration>,
}

impl Outage {
    /// Timeouts of a call whose timeout is `normal` without an outage. During an outage a call that certainly was not
    /// carried out is refused early, while its caller still has time to retry.
    pub fn timeouts(self, normal: Duration) -> Timeouts {
        match self.since_last_answer {
            Some(elapsed) if elapsed >= OUTAGE_THRESHOLD => Timeouts {
                not_run: normal.min(OUTAGE_TIMEOUT),
                unknown: normal,
            },
            _ => normal.into(),
        }
    }

    /// Delay after which a refused caller should retry. It grows with the outage, so that a caller's few retries
    /// outlast the outage and waiting callers do not all return at once.
    pub fn retry_after(self) -> Duration {
        let elapsed = self.since_last_answer.unwrap_or_default();
        let seconds = (elapsed / 2).as_secs_f64().ceil();
        Duration::from_secs_f64(seconds).clamp(Duration::from_secs(1), MAX_RETRY_AFTER)
    }
}

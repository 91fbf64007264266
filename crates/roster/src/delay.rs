use {quorum::Change, std::time::Duration};

/// Interval at which followers greet the leader, and at which the leader checks the member list.
const CHECK_INTERVAL: Duration = Duration::from_millis(400);

/// Delay before the member list is checked again after a proposal. The leader refuses to promote a learner that lacks
/// the last committed entry, and under load a learner has it only for some milliseconds at a time.
const RETRY_DELAY: Duration = Duration::from_millis(25);

/// Time until the next check of the member list; `change` is what the last check proposed, if anything.
pub fn next_check_delay(change: Option<&Change>) -> Duration {
    match change {
        Some(_) => RETRY_DELAY,
        None => CHECK_INTERVAL,
    }
}

use {quorum::Change, std::time::Duration};

/// Interval of greetings to the leader, and of looks at the member list.
const INTERVAL: Duration = Duration::from_millis(400);

/// Pause before a change that was proposed is looked at again. The leader refuses a learner that lacks the last
/// committed entry; under load one is only level with it for some milliseconds at a time.
const RETRY: Duration = Duration::from_millis(25);

/// Time until the next look at the member list, after `change` was proposed.
pub fn next_check_delay(change: Option<&Change>) -> Duration {
    match change {
        Some(_) => RETRY,
        None => INTERVAL,
    }
}

use {quorum::Change, std::time::Duration};

/// Delay between two greetings of a follower, and between two checks of the member list by the
/// leader.
const CHECK_INTERVAL: Duration = Duration::from_millis(400);

/// Delay before the member list is checked again after a proposal. The leader refuses to promote a
/// learner that lacks the last committed entry, and under load a learner has it only for some
/// milliseconds at a time.
const RETRY_DELAY: Duration = Duration::from_millis(25);

/// Time until the leader's next check of the member list, or a follower's next greeting. `change`
/// is what the last check proposed; none if it proposed nothing or this instance follows.
pub fn next_check_delay(change: Option<&Change>) -> Duration {
    match change {
        Some(_) => RETRY_DELAY,
        None => CHECK_INTERVAL,
    }
}

//! Upstreams that leave with ends that they have not listed yet.

use {dispatch::control::FinalEnds, std::time::Duration};

/// The second for which an upstream waits for the acknowledgement.
const ACKNOWLEDGEMENT_TIMEOUT: Duration = Duration::from_secs(1);

/// Time waited if each wait brings the next of `parts` parts of 500 ends, and the time and number of the last end.
fn wait_for(parts: u64) -> (Duration, u64) {
    let mut final_ends = FinalEnds::default();
    let mut waited = Duration::ZERO;
    let mut listed = 0;
    while let Some(wait) = final_ends.next_wait(500 * listed, listed < parts) {
        waited += wait;
        listed = parts.min(listed + 1);
    }
    (waited, 500 * listed)
}

/// Guards against tasks that run again though they are done: an upstream left with more ends than it lists at a time, and
/// was removed before the leader had seen them all.
#[test]
fn an_upstream_stays_until_its_ends_are_listed() {
    assert_eq!(wait_for(2).1, 1000);
    assert_eq!(wait_for(3).1, 1500);
}

/// Guards against upstreams that are not acknowledged in time because they end one run after another.
#[test]
fn the_acknowledgement_is_not_delayed_for_ever() {
    assert!(wait_for(1000).0 < ACKNOWLEDGEMENT_TIMEOUT);
}

/// Guards against a departure that is delayed by runs which the upstream does not end.
#[test]
fn an_upstream_without_further_ends_is_removed_after_one_wait() {
    let mut final_ends = FinalEnds::default();
    assert!(final_ends.next_wait(7, true).is_some());
    assert_eq!(final_ends.next_wait(7, true), None);
}

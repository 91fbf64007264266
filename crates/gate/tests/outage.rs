//! Timeouts and retry delays while there is no leader.

use {
    gate::{Outage, Timeouts},
    std::time::Duration,
};

const NORMAL_TIMEOUT: Duration = Duration::from_millis(1400);

fn after(ms: u64) -> Outage {
    Outage {
        since_last_answer: Some(Duration::from_millis(ms)),
    }
}

/// Guards against calls that wait for most of their deadline although no leader has answered for long. When all control
/// instances were killed for 2.5 s, each call waited for 1.4 s and was then refused.
#[test]
fn calls_during_an_outage_are_refused_early() {
    let during_outage = Timeouts {
        not_run: Duration::from_millis(250),
        unknown: NORMAL_TIMEOUT,
    };
    assert_eq!(after(1500).timeouts(NORMAL_TIMEOUT), during_outage);
    assert_eq!(after(9000).timeouts(NORMAL_TIMEOUT), during_outage);
    let short = Duration::from_millis(100);
    assert_eq!(after(9000).timeouts(short), short.into());
}

/// Guards against early refusals during an election, which ends within the normal timeout, and in an idle system.
#[test]
fn calls_wait_for_an_election() {
    assert_eq!(after(1200).timeouts(NORMAL_TIMEOUT), NORMAL_TIMEOUT.into());
    assert_eq!(
        Outage {
            since_last_answer: None
        }
        .timeouts(NORMAL_TIMEOUT),
        NORMAL_TIMEOUT.into()
    );
}

/// Guards against callers that use up their retries in the first seconds of an outage because the delay stays short.
#[test]
fn retry_after_grows_with_the_outage() {
    let delays = [0, 1500, 2500, 5000, 60_000].map(|ms| after(ms).retry_after().as_secs());
    assert_eq!(delays, [1, 1, 2, 3, 4]);
    assert_eq!(
        Outage {
            since_last_answer: None
        }
        .retry_after()
        .as_secs(),
        1
    );
}

//! Order, time limits and meaning of tries.

use {
    cli::client::{Attempts, Seen, Settings, Step, Verdict},
    proptest::{prelude::*, test_runner::RngSeed},
    std::time::{Duration, Instant},
};

const PER_TRY: Duration = Duration::from_secs(5);
const TOTAL: Duration = Duration::from_secs(30);

fn seen() -> impl Strategy<Value = Seen> {
    prop_oneof![
        Just(Seen::Unconnected),
        Just(Seen::NotRun),
        Just(Seen::Lost)
    ]
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, rng_seed: RngSeed::Fixed(7), ..ProptestConfig::default() })]

    /// Guards against "nothing was changed" after a send whose answer was lost, against tries that
    /// exceed the total time, and against an instance that is never tried.
    #[test]
    fn says_nothing_was_changed_only_when_certain(
        instances in 1usize..6,
        first in 0usize..8,
        changes in any::<bool>(),
        script in proptest::collection::vec((seen(), 0u64..5_000), 1..40),
    ) {
        let start = Instant::now();
        let mut now = start;
        let mut attempts = Attempts::new(instances, first, changes, PER_TRY, TOTAL, now);
        let (mut happened, mut tried) = (Vec::new(), Vec::new());
        let mut script = script.into_iter().cycle();
        let verdict = loop {
            match attempts.step(now) {
                Step::Try(index, limit) => {
                    prop_assert!(now + limit <= start + TOTAL);
                    let (seen, took) = script.next().unwrap();
                    now += Duration::from_millis(took).min(limit);
                    happened.push(seen);
                    tried.push(index);
                    attempts.failed(seen);
                }
                Step::Wait(time) => {
                    prop_assert!(time > Duration::ZERO);
                    now += time;
                }
                Step::End(verdict) => break verdict,
            }
            prop_assert!(tried.len() < 10_000);
        };
        prop_assert!(now <= start + TOTAL);
        for (position, index) in tried.iter().enumerate() {
            prop_assert_eq!(*index, (first + position) % instances);
        }
        let expected = if !changes {
            Verdict::Unreachable
        } else if happened.contains(&Seen::Lost) {
            Verdict::Unknown
        } else if happened.contains(&Seen::NotRun) {
            Verdict::NotRun
        } else {
            Verdict::Unreachable
        };
        prop_assert_eq!(verdict, expected);
    }

    /// Guards against a panic on addresses from the environment.
    #[test]
    fn reads_any_list_of_addresses(text in ".{0,60}", seconds in any::<f64>()) {
        let _ = Settings::parse(&text, seconds, 1.0);
    }
}

/// Guards against a busy loop while every instance refuses connections at once.
#[test]
fn waits_longer_after_each_round() {
    let now = Instant::now();
    let mut attempts = Attempts::new(1, 0, true, PER_TRY, TOTAL, now);
    let mut waits = Vec::new();
    while waits.len() < 6 {
        match attempts.step(now) {
            Step::Try(..) => attempts.failed(Seen::Unconnected),
            Step::Wait(time) => waits.push(time.as_millis()),
            Step::End(verdict) => panic!("{verdict:?}"),
        }
    }
    assert_eq!(waits, [100, 200, 400, 800, 1600, 2000]);
}

/// Guards against names that reach another host or port than written.
#[test]
fn accepts_only_address_and_port() {
    for good in ["127.0.0.1:7101", "[::1]:7101", "a1:7101, a2:7101,"] {
        assert!(Settings::parse(good, 1.0, 1.0).is_ok(), "{good}");
    }
    for bad in [
        "",
        "a1",
        "a1:0",
        "a1:99999",
        "user@a1:7101",
        "http://a1:7101",
        ":7101",
        "a1:7101/x",
    ] {
        assert!(Settings::parse(bad, 1.0, 1.0).is_err(), "{bad}");
    }
    for bad in [0.0, -1.0, f64::NAN, f64::INFINITY, 1e9] {
        assert!(Settings::parse("a1:7101", bad, 1.0).is_err(), "{bad}");
    }
}

//! Counting of events by the ledger.

mod common;

use {
    burn::{Event, Ledger, Outcome, Report},
    common::{HOUR, MINUTE, answer, config, config_with, objective, record},
    model::{
        account::Measure,
        clock::{Clock, Manual},
    },
    std::time::Duration,
};

/// Guards against a bound that is off by one: an answer exactly at the bound is good.
#[test]
fn counts_by_the_bound_of_the_objective() {
    let clock = Manual::new();
    let config = config(0.9);
    let mut ledger = Ledger::new("a1", &clock);
    for ms in [1, 100, 101] {
        let event = answer(Outcome::Took(Duration::from_millis(ms)));
        ledger.record(&config, &event, clock.now());
    }
    let line = &Report::new(&[ledger.snapshot(&clock)], &config, 0).lines[0];
    assert_eq!((line.good, line.bad), (2, 1));
    assert_eq!(line.reasons[0].text, "late");
}

/// Guards against two objectives with different bounds sharing one counter, and against an objective
/// listed twice counting each event twice.
#[test]
fn keeps_bounds_of_one_class_and_measure_apart() {
    let clock = Manual::new();
    let config = config_with(vec![
        objective(100, 0.9),
        objective(500, 0.99),
        objective(100, 0.5),
    ]);
    let mut ledger = Ledger::new("a1", &clock);
    let event = answer(Outcome::Took(Duration::from_millis(200)));
    ledger.record(&config, &event, clock.now());
    let report = Report::new(&[ledger.snapshot(&clock)], &config, 0);
    let counts: Vec<_> = report.lines.iter().map(|l| (l.good, l.bad)).collect();
    assert_eq!(counts, [(0, 1), (1, 0), (0, 1)]);
}

/// Guards against memory that grows with account names, classes or reasons sent by callers.
#[test]
fn bounds_series_and_reasons() {
    let clock = Manual::new();
    let config = config(0.9);
    let mut ledger = Ledger::new("a1", &clock);
    for index in 0..10_000 {
        let name = format!("stranger-{index}");
        let reason = format!("reason-{index}");
        let stranger = Event {
            account: &name,
            ..answer(Outcome::Good)
        };
        let other_class = Event {
            class: &name,
            ..answer(Outcome::Good)
        };
        let other_measure = Event {
            measure: Measure::JobStart,
            ..answer(Outcome::Good)
        };
        for event in [stranger, other_class, other_measure] {
            ledger.record(&config, &event, clock.now());
        }
        ledger.record(&config, &answer(Outcome::Bad(&reason)), clock.now());
    }
    let snapshot = ledger.snapshot(&clock);
    assert_eq!(snapshot.series.len(), 1);
    let reasons = &snapshot.series[0].reasons;
    assert!(reasons.len() <= 9, "{reasons:?}");
    assert_eq!(reasons.iter().map(|r| r.count).sum::<u64>(), 10_000);
}

/// Guards against a ledger that is full of ended objectives and counts no new ones, and against
/// silent loss when it is full of present ones.
#[test]
fn replaces_ended_objectives_and_states_what_it_drops() {
    let clock = Manual::new();
    let mut ledger = Ledger::new("a1", &clock);
    let many = |from: u64, count: u64| {
        config_with((from..from + count).map(|ms| objective(ms, 0.9)).collect())
    };
    let event = answer(Outcome::Took(Duration::ZERO));
    ledger.record(&many(0, 4_096), &event, clock.now());
    ledger.record(&many(10_000, 10), &event, clock.now());
    assert_eq!(ledger.snapshot(&clock).series.len(), 10);
    ledger.record(&many(0, 4_100), &event, clock.now());
    let snapshot = ledger.snapshot(&clock);
    assert_eq!((snapshot.series.len(), snapshot.dropped), (4_096, 4));
    let report = Report::new(&[snapshot], &many(0, 1), 0);
    assert!(report.remarks.iter().any(|r| r.contains("did not count 4")));
}

/// Guards against buckets of an earlier turn of the ring being counted again after a quiet time.
#[test]
fn forgets_events_that_left_the_window() {
    let clock = Manual::new();
    let config = config(0.9);
    let mut ledger = Ledger::new("a1", &clock);
    record(&mut ledger, &config, &clock, 0, 10);
    clock.advance(4 * 24 * HOUR);
    record(&mut ledger, &config, &clock, 1, 0);
    let line = &Report::new(&[ledger.snapshot(&clock)], &config, 0).lines[0];
    for burn in &line.burns {
        assert_eq!((burn.short.bad, burn.long.bad), (0, 0));
    }
    assert_eq!(
        (line.good, line.bad),
        (1, 10),
        "the period of 30 d still holds them"
    );
    clock.advance(40 * 24 * HOUR);
    let line = &Report::new(&[ledger.snapshot(&clock)], &config, 0).lines[0];
    assert_eq!(line.events(), 0);
    assert!(line.reasons.is_empty());
}

/// Guards against a lost or misplaced event when threads read their clocks in another order than
/// they reach the ledger.
#[test]
fn accepts_times_that_go_backwards() {
    let clock = Manual::new();
    let config = config(0.9);
    let mut ledger = Ledger::new("a1", &clock);
    let early = clock.now();
    clock.advance(2 * MINUTE);
    record(&mut ledger, &config, &clock, 1, 0);
    ledger.record(&config, &answer(Outcome::Good), early);
    clock.advance(2 * HOUR);
    record(&mut ledger, &config, &clock, 1, 0);
    ledger.record(&config, &answer(Outcome::Good), early);
    let line = &Report::new(&[ledger.snapshot(&clock)], &config, 0).lines[0];
    assert_eq!(line.good, 4);
}

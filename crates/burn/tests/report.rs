//! Burn rates, budgets and their limits.

mod common;

use {
    burn::{Ledger, Report, Severity, Status},
    common::{HOUR, MINUTE, config, record},
    model::clock::{Clock, Manual},
    std::time::Duration,
};

const DAY_MS: u64 = 86_400_000;

/// Guards against wrong burn rates, thresholds or projections: 2% bad at a target of 99.9% burns at
/// 20, which spends the 30-day budget in 1.5 days.
#[test]
fn pages_on_a_fast_burn_and_projects_exhaustion() {
    let clock = Manual::new();
    let config = config(0.999);
    let mut ledger = Ledger::new("a1", &clock);
    for _ in 0..120 {
        clock.advance(MINUTE);
        record(&mut ledger, &config, &clock, 98, 2);
    }
    let line = &Report::new(&[ledger.snapshot(&clock)], &config, clock.wall_ms()).lines[0];
    for burn in &line.burns {
        for window in [&burn.short, &burn.long] {
            assert!((window.rate.unwrap() - 20.0).abs() < 1e-6);
        }
        assert!(burn.alert);
    }
    assert_eq!(line.status, Status::Page);
    assert_eq!(
        line.burns[0].short.good,
        6 * 98,
        "5 min and the bucket in progress"
    );
    assert!(!line.burns[0].long.partial);
    assert!(line.burns[1].long.partial);
    let left = line.budget.left.unwrap();
    assert!(
        (left - (1.0 - 20.0 * 119.0 / (30.0 * 24.0 * 60.0))).abs() < 1e-6,
        "{left}"
    );
    let days = line.budget.exhausted_in_ms.unwrap() as f64 / DAY_MS as f64;
    assert!((days - 1.5 * left).abs() < 1e-3, "{days}");
}

/// Guards against an alert that stays on after its cause ended: the short window ends it.
#[test]
fn ends_the_page_when_the_short_window_recovers() {
    let clock = Manual::new();
    let config = config(0.999);
    let mut ledger = Ledger::new("a1", &clock);
    record(&mut ledger, &config, &clock, 50, 50);
    clock.advance(10 * MINUTE);
    record(&mut ledger, &config, &clock, 100, 0);
    let line = &Report::new(&[ledger.snapshot(&clock)], &config, clock.wall_ms()).lines[0];
    let fast = &line.burns[0];
    assert_eq!(fast.severity, Severity::Page);
    assert!(fast.long.rate.unwrap() > fast.threshold);
    assert_eq!(fast.short.rate, Some(0.0));
    assert!(!fast.alert);
}

/// Guards against division by zero and invented figures without traffic, objectives or instances.
#[test]
fn states_empty_data() {
    let clock = Manual::new();
    let with_objective = config(0.99);
    let ledger = Ledger::new("a1", &clock);
    let report = Report::new(&[ledger.snapshot(&clock)], &with_objective, 0);
    let line = &report.lines[0];
    assert_eq!(line.status, Status::NoEvents);
    assert_eq!((line.attained, line.budget.left), (None, None));
    assert!(line.burns.iter().all(|b| b.long.rate.is_none() && !b.alert));
    assert!(report.text().contains("no events"));
    assert!(report.page().contains("no events"));

    let empty = Report::new(&[], &Default::default(), 0);
    let text = empty.text();
    assert!(text.contains("no instance delivered counts"), "{text}");
    assert!(text.contains("no objectives"), "{text}");
}

/// Guards against a quiet recent time hiding an exhausted budget.
#[test]
fn keeps_an_exhausted_budget_visible_without_recent_traffic() {
    let clock = Manual::new();
    let config = config(0.99);
    let mut ledger = Ledger::new("a1", &clock);
    record(&mut ledger, &config, &clock, 90, 10);
    clock.advance(Duration::from_millis(5 * DAY_MS));
    let line = &Report::new(&[ledger.snapshot(&clock)], &config, clock.wall_ms()).lines[0];
    assert_eq!(line.status, Status::Exhausted);
    assert_eq!(line.budget.exhausted_in_ms, Some(0));
}

/// Guards against counts placed by a wrong clock: one instance's clock is an hour ahead, one was set
/// back while it counted, and both still land in the same windows. The report says so.
#[test]
fn merges_instances_with_skewed_clocks_by_age() {
    let clock = Manual::new();
    let config = config(0.9);
    let mut ledgers = [Ledger::new("a1", &clock), Ledger::new("a2", &clock)];
    clock.advance(HOUR * 10);
    for ledger in &mut ledgers {
        record(ledger, &config, &clock, 8, 2);
    }
    let mut snapshots = ledgers.map(|ledger| ledger.snapshot(&clock));
    snapshots[0].started_ms += 3_600_000;
    snapshots[0].taken_ms += 3_600_000;
    snapshots[1].taken_ms -= 90_000;
    let report = Report::new(&snapshots, &config, clock.wall_ms());
    let line = &report.lines[0];
    assert_eq!((line.burns[0].short.good, line.burns[0].short.bad), (16, 4));
    let remarks = report.remarks.join("\n");
    assert!(
        remarks.contains("clock of a1 differs by +3600.0 s"),
        "{remarks}"
    );
    assert!(
        remarks.contains("clock of a2 was set by -90.0 s"),
        "{remarks}"
    );
    assert!(!remarks.contains("clock of a1 was set"), "{remarks}");
}

/// Guards against a restart that looks like a full budget without a statement, and against counting
/// an instance twice when an older snapshot of it arrives too.
#[test]
fn states_since_when_it_counts_after_a_restart() {
    let clock = Manual::new();
    let config = config(0.9);
    let mut old = Ledger::new("a1", &clock);
    record(&mut old, &config, &clock, 5, 5);
    clock.advance(HOUR * 48);
    let mut new = Ledger::new("a2", &clock);
    clock.advance(HOUR);
    record(&mut new, &config, &clock, 10, 0);
    let snapshots = [
        old.snapshot(&clock),
        new.snapshot(&clock),
        new.snapshot(&clock),
    ];
    let report = Report::new(&snapshots, &config, clock.wall_ms()).without(["a3"]);
    assert_eq!(report.lines[0].events(), 20);
    assert_eq!(report.sources[1].since_ms, 48 * 3_600_000);
    assert_eq!(report.lines[0].since_ms, Some(0));
    let text = report.text();
    for part in [
        "a2 counts since 1970-01-03 00:00:00Z",
        "no counts from a3",
        "1 further snapshots",
        "before a restart",
    ] {
        assert!(text.contains(part), "{part} is missing in:\n{text}");
    }
}

//! JSON, text and page, with names and figures of any content.

mod common;

use {
    burn::{Event, Ledger, Line, Outcome, Report, Snapshot},
    common::{MINUTE, config, record},
    model::{
        account::Measure,
        clock::{Clock, Manual},
    },
    proptest::{prelude::*, test_runner::RngSeed},
};

fn sample() -> Report {
    let clock = Manual::new();
    let config = config(0.99);
    let mut ledger = Ledger::new("a1", &clock);
    for step in 0..200 {
        clock.advance(MINUTE);
        record(&mut ledger, &config, &clock, 100, step % 5);
    }
    Report::new(&[ledger.snapshot(&clock)], &config, clock.wall_ms())
}

/// Guards against fields that the JSON loses: the command line renders the page from it.
#[test]
fn json_holds_the_whole_report() {
    let report = sample();
    let read: Report = serde_json::from_str(&report.json().unwrap()).unwrap();
    assert_eq!(read, report);
    assert_eq!(read.page(), report.page());
}

/// Guards against a page that needs other files or scripts, lacks its plots or ignores the theme.
#[test]
fn page_is_self_contained() {
    let page = sample().page();
    assert_eq!(page.matches("<svg").count(), 2);
    assert!(page.contains("<polyline"));
    for marker in ["#787879", "#969697", "#3C82C9", "#C9503C"] {
        assert!(
            page.contains(&format!("svg [stroke=\"{marker}\"]")),
            "{marker}"
        );
        assert!(
            page.matches(marker).count() > 2,
            "{marker} is not in a plot"
        );
    }
    assert!(page.contains("prefers-color-scheme:dark"));
    for outside in ["<script", "src=", "href=", "url(", "@import"] {
        assert!(!page.contains(outside), "{outside}");
    }
}

/// Guards against markup or terminal control sequences in names reaching the reader.
#[test]
fn escapes_names() {
    let mut report = sample();
    let hostile = "<img src=x>\u{1b}[2J\u{202e}&";
    report.lines[0].account = hostile.into();
    report.lines[0].class = hostile.into();
    report.lines[0].reasons[0].text = hostile.into();
    report.sources[0].name = hostile.into();
    report.remarks.push(hostile.into());
    assert!(!report.page().contains("<img"));
    for shown in [report.page(), report.text()] {
        assert!(!shown.contains(['\u{1b}', '\u{202e}']));
    }
}

fn line(good: u64, bad: u64, target: f64, age: u16) -> Line {
    let mut line = sample().lines.remove(0);
    line.good = good;
    line.bad = bad;
    line.target = target;
    line.since_ms = Some(good);
    line.budget.left = Some(target);
    line.budget.exhausted_in_ms = Some(bad);
    for point in line.recent.iter_mut().chain(&mut line.longer) {
        point.age = point.age.wrapping_mul(age);
        point.good = good;
        point.bad = bad;
    }
    line
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 64, failure_persistence: None, rng_seed: RngSeed::Fixed(7), ..ProptestConfig::default() })]

    /// Guards against a panic while a report from another machine is rendered.
    #[test]
    fn renders_any_figures(
        good in any::<u64>(),
        bad in any::<u64>(),
        target in proptest::num::f64::NORMAL,
        age in any::<u16>(),
    ) {
        let mut report = sample();
        report.lines = vec![line(good, bad, target, age)];
        report.at_ms = good;
        prop_assert!(report.text().contains("reed"));
        prop_assert!(report.page().ends_with("</html>\n"));
    }

    /// Guards against a panic or overflow on snapshots from another machine.
    #[test]
    fn merges_any_snapshot(
        cells in proptest::collection::vec(
            proptest::collection::vec(any::<(u16, u32, u32)>(), 0..80), 0..6),
        times in any::<(u64, u64, u64, u64)>(),
        count in any::<u64>(),
    ) {
        let clock = Manual::new();
        let config = config(0.99);
        let mut ledger = Ledger::new("a1", &clock);
        record(&mut ledger, &config, &clock, 1, 1);
        let mut snapshot: Snapshot = ledger.snapshot(&clock);
        (snapshot.started_ms, snapshot.taken_ms, snapshot.uptime_ms, _) = times;
        snapshot.series[0].age_ms = times.3;
        snapshot.series[0].tiers = cells;
        snapshot.series[0].reasons[0].count = count;
        let second = Snapshot { source: "a2".into(), ..snapshot.clone() };
        let report = Report::new(&[snapshot, second], &config, times.3);
        let line = &report.lines[0];
        prop_assert!(line.attained.is_none_or(|share| (0.0..=1.0).contains(&share)));
        prop_assert!(line.budget.left.is_none_or(f64::is_finite));
        prop_assert!(report.json().is_ok());
    }

    /// Guards against merged totals that differ from what each instance recorded.
    #[test]
    fn merging_adds_up(counts in proptest::collection::vec((0u32..20, 0u32..20), 1..6)) {
        let clock = Manual::new();
        let config = config(0.9);
        let snapshots: Vec<Snapshot> = counts.iter().enumerate().map(|(index, &(good, bad))| {
            let mut ledger = Ledger::new(format!("a{index}"), &clock);
            clock.advance(MINUTE);
            record(&mut ledger, &config, &clock, good, bad);
            let stranger = Event { measure: Measure::Admission, ..common::answer(Outcome::Good) };
            ledger.record(&config, &stranger, clock.now());
            ledger.snapshot(&clock)
        }).collect();
        let line = &Report::new(&snapshots, &config, clock.wall_ms()).lines[0];
        let sum = |pick: fn(&(u32, u32)) -> u32| counts.iter().map(|c| u64::from(pick(c))).sum::<u64>();
        prop_assert_eq!((line.good, line.bad), (sum(|c| c.0), sum(|c| c.1)));
    }
}

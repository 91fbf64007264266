//! Memory of what leaders have told of their starts.

use {
    dispatch::leader::StartMemory,
    plan::engine::{Engine, Settings},
    std::time::{Duration, Instant},
    work::{
        id,
        registry::{Command, Registry},
        upstream::{NumberedReport, OpenStart, StartReport},
    },
};

/// A report with one open start, of which this time is left.
fn report(covered_ms: u64, left_ms: u32) -> StartReport {
    let task = id::Task {
        job: id::Job(1),
        occurrence: 0,
        step: 0,
        index: 0,
    };
    StartReport {
        covered_ms,
        settled: vec![],
        open: vec![OpenStart {
            upstream: "a".into(),
            task,
            run: 1,
            left_ms: Some(left_ms),
        }],
    }
}

fn numbered(term: u64, number: u64, covered_ms: u64) -> NumberedReport {
    NumberedReport {
        term,
        number,
        report: report(covered_ms, 100 * number as u32),
    }
}

/// The report that is remembered after these have arrived.
fn latest(arrived: &[&NumberedReport]) -> NumberedReport {
    let mut memory = StartMemory::default();
    let now = Instant::now();
    for report in arrived {
        memory.replace((*report).clone(), now);
    }
    memory.latest().clone()
}

/// Guards against a deposed leader that does not know it yet, and replaces what the later one has told.
#[test]
fn a_deposed_leader_replaces_nothing() {
    let later = numbered(8, 1, 1000);
    for covered_ms in [1000, 2000] {
        let deposed = numbered(7, 90, covered_ms);
        assert_eq!(latest(&[&later, &deposed]), later);
        assert_eq!(latest(&[&deposed, &later]), later);
    }
}

/// Guards against an earlier message of a leader that arrives after a later one.
#[test]
fn the_last_report_of_a_leader_counts() {
    let (earlier, later) = (numbered(7, 1, 1000), numbered(7, 2, 1000));
    assert_eq!(latest(&[&earlier, &later]), later);
    assert_eq!(latest(&[&later, &earlier]), later);
}

/// Guards against a new leader whose reports are refused because they cover less than those of the earlier one.
#[test]
fn the_first_report_of_a_new_leader_counts() {
    let (earlier, later) = (numbered(7, 90, 2000), numbered(8, 1, 1000));
    assert_eq!(latest(&[&earlier, &later]), later);
}

/// Guards against an instance that leads and remembers what the earlier leader had told instead of what it knows itself.
#[test]
fn a_new_leader_remembers_its_own_report_at_once() {
    let now = Instant::now();
    let mut registry = Registry::default();
    registry.apply(Command::Cancel {
        at_ms: 1000,
        job: id::Job(1),
    });
    let mut engine = Engine::new(Settings::default(), now);
    engine.step([], &registry, now, 1000);
    let mut memory = StartMemory::default();
    memory.replace(numbered(7, 90, 2000), now);
    memory.copy(&engine, &registry, 8, now);
    assert_eq!((memory.latest().term, memory.latest().number), (8, 1));
    memory.replace(numbered(7, 91, 3000), now);
    assert_eq!(memory.latest().term, 8);
    memory.copy(&engine, &registry, 8, now + Duration::from_secs(1));
    assert_eq!((memory.latest().term, memory.latest().number), (8, 2));
}

/// Guards against a group of two builds in which the leader of the earlier one, which numbers nothing, is not heard, and
/// against a later leader that is not heard after it.
#[test]
fn unnumbered_reports_count_by_what_they_cover() {
    let now = Instant::now();
    let mut memory = StartMemory::default();
    memory.replace(numbered(7, 1, 1000), now);
    memory.replace_by_unnumbered(report(900, 5), now);
    assert_eq!(memory.latest().report, report(1000, 100));
    memory.replace_by_unnumbered(report(1100, 6), now);
    assert_eq!(memory.latest().report, report(1100, 6));
    let later = numbered(9, 1, 1050);
    memory.replace(later.clone(), now);
    assert_eq!(memory.latest(), &later);
}

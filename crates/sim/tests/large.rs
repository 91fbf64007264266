//! The leader at 1,100 upstreams: what its steps examine, and what is served if they take processor time.

use {
    plan::engine,
    sim::{Load, Processor, Report, Setup, Trouble, World},
    std::time::Duration,
    work::id,
};

/// Number of upstreams.
const UPSTREAMS: usize = 1100;

/// Interval in milliseconds in which a run is checked at most once.
const MIN_CHECK_INTERVAL_MS: u64 = 60;

/// The large planning platform with 1.2 times its load, a burst of short gangs, and a seventh of the upstreams leaving
/// at short notice.
fn world(processor: Processor) -> World {
    let load = Load {
        scale: 1.2,
        burst: Some((0, 2000, 7000, 2.0)),
        length_ms: 14_000,
        ..Load::large_planning()
    };
    let leaving = (0..UPSTREAMS).step_by(7).map(|number| {
        let id = id::Upstream::from(format!("u{number}"));
        (8000, Trouble::Leaving(id, 1500))
    });
    let setup = Setup {
        upstreams: UPSTREAMS,
        rack: 20,
        memory_mb: 131_072,
        accounts: 24,
        guaranteed: 226,
        troubles: leaving.collect(),
        processor,
        settings: engine::Settings {
            max_lease: Duration::from_millis(10_000),
            stop_timeout: Duration::from_millis(900),
            gang_timeout: Duration::from_millis(5000),
            reclaim_time: Duration::from_millis(3400),
            ..engine::Settings::default()
        },
        ..Setup::default()
    };
    World::new(setup, load)
}

/// Guards against a leader that compares its whole state with the registry after each commit, checks all runs all the
/// time, and examines all upstreams for each unit that waits: it has no processor time left for anything else.
#[test]
fn steps_examine_what_has_changed() {
    let mut world = world(Processor::default());
    world.run_until(5000);
    world.take_effort();
    let revision = world.book().revision();
    world.run_until(6000);
    let effort = world.take_effort();
    let changes = world.book().changes_since(revision).unwrap().count() as u64;
    assert!(effort.synced <= changes, "{effort:?}, {changes} changes");
    let runs = world.book().allocations().count() as u64;
    assert!(runs > 2000, "{runs} runs");
    let checks = 1000 / MIN_CHECK_INTERVAL_MS;
    assert!(
        effort.checked <= runs * checks * 11 / 10,
        "{effort:?}, {runs} runs"
    );
    let entries = UPSTREAMS as u64 + runs;
    assert!(
        effort.planned <= effort.rounds * entries * 8,
        "{effort:?}, {entries} entries"
    );
}

fn day(processor: Processor) -> Report {
    let mut world = world(processor);
    world.run_until(40_000);
    let (report, oracle) = world.finish();
    assert_eq!(oracle.breaches, vec![]);
    report
}

/// Guards against work that is served late or not at all because the leader's steps take too long.
#[test]
fn processor_time_of_the_leader_costs_little() {
    let busy = Processor {
        per_entry: Duration::from_micros(2),
        per_event: Duration::from_micros(100),
    };
    let (free, busy) = (day(Processor::default()), day(busy));
    let lost = free.served() - busy.served();
    assert!(
        lost < 0.03,
        "{:.3} instead of {:.3}\n{busy}\n{free}",
        busy.served(),
        free.served()
    );
}

//! The leader at 1,100 upstreams: what its steps examine, and what is served if they take processor time.

use {
    plan::engine,
    sim::{Load, Processor, Report, Setup, Trouble, World},
    std::time::Duration,
    work::id,
};

/// Number of upstreams.
const UPSTREAMS: usize = 1100;

/// Number of days with which headroom is compared.
const HEADROOM_SEEDS: u64 = 4;

/// Interval in milliseconds in which a run is checked at most once.
const MIN_CHECK_INTERVAL_MS: u64 = 60;

/// The large planning platform with 1.2 times its load, a burst of short gangs, and a seventh of the upstreams leaving
/// at short notice.
fn setup() -> Setup {
    let leaving = (0..UPSTREAMS).step_by(7).map(|number| {
        let id = id::Upstream::from(format!("u{number}"));
        (8000, Trouble::Leaving(id, 1500))
    });
    Setup {
        upstreams: UPSTREAMS,
        rack: 20,
        memory_mb: 131_072,
        accounts: 24,
        guaranteed: 226,
        troubles: leaving.collect(),
        settings: engine::Settings {
            max_lease: Duration::from_millis(10_000),
            stop_timeout: Duration::from_millis(900),
            gang_timeout: Duration::from_millis(5000),
            reclaim_time: Duration::from_millis(3400),
            ..engine::Settings::default()
        },
        ..Setup::default()
    }
}

fn world(setup: Setup) -> World {
    let load = Load {
        scale: 1.2,
        burst: Some((0, 2000, 7000, 2.0)),
        length_ms: 14_000,
        ..Load::large_planning()
    };
    World::new(setup, load)
}

/// Guards against a leader that compares its whole state with the registry after each commit, checks all runs all the
/// time, and examines all upstreams for each unit that waits: it has no processor time left for anything else.
#[test]
fn steps_examine_what_has_changed() {
    let mut world = world(setup());
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

fn day(setup: Setup) -> Report {
    let mut world = world(setup);
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
    let free = day(setup());
    let busy = day(Setup {
        processor: busy,
        ..setup()
    });
    let lost = free.served() - busy.served();
    assert!(
        lost < 0.03,
        "{:.3} instead of {:.3}\n{busy}\n{free}",
        busy.served(),
        free.served()
    );
}

/// Guards against accelerators that are kept free beside waiting gangs without being worth it.
#[test]
fn headroom_is_worth_more_than_filling_it_at_this_size() {
    let net = |keeps_headroom: bool| -> f64 {
        let days: Vec<_> = (0..HEADROOM_SEEDS)
            .map(|seed| {
                let setup = Setup {
                    seed,
                    settings: engine::Settings {
                        keeps_headroom,
                        ..setup().settings
                    },
                    ..setup()
                };
                std::thread::spawn(move || day(setup).net())
            })
            .collect();
        let nets = days.into_iter().map(|day| day.join().unwrap());
        nets.sum::<f64>() / HEADROOM_SEEDS as f64
    };
    let (with, without) = (net(true), net(false));
    assert!(with > without, "{with:.3} against {without:.3}");
}

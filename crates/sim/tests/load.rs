//! Load at its worst, replayed on a virtual clock: more work than fits, with a burst of short gangs.

use {
    plan::{engine, order::Strategy},
    sim::{Load, Report, Setup, Trouble, World},
    work::{id, upstream::Outcome},
};

/// Seeds played; each takes a second or two.
const SEEDS: u64 = 6;

/// A day with 1.6 times the planning platform's jobs and a burst of short gangs.
fn day(seed: u64, settings: &engine::Settings) -> Report {
    let load = Load {
        scale: 1.6,
        burst: Some((0, 3000, 9000, 2.2)),
        ..Load::planning()
    };
    let setup = Setup {
        seed,
        settings: settings.clone(),
        ..Setup::default()
    };
    let end = load.length_ms + 25_000;
    let mut world = World::new(setup, load);
    world.run_until(end);
    let (report, oracle) = world.finish();
    assert_eq!(oracle.breaches, vec![], "seed {seed}");
    report
}

fn net(settings: engine::Settings) -> f64 {
    let days = (0..SEEDS).map(|seed| day(seed, &settings).net());
    days.sum::<f64>() / SEEDS as f64
}

/// Guards against rules that serve less, or throw more away, than a plain scheduler under too much load.
#[test]
fn net_worth_is_above_plain_baselines() {
    let own = net(engine::Settings::default());
    for baseline in [Strategy::Arrival, Strategy::Priority] {
        let plain = net(engine::Settings {
            strategy: baseline,
            ..engine::Settings::default()
        });
        assert!(own > plain, "{own:.3} against {plain:.3} of {baseline:?}");
    }
}

/// Guards against accelerators that are kept free beside waiting work without being worth it.
#[test]
fn headroom_is_worth_more_than_filling_it() {
    let without = net(engine::Settings {
        keeps_headroom: false,
        ..engine::Settings::default()
    });
    let with = net(engine::Settings::default());
    assert!(with > without, "{with:.3} against {without:.3}");
}

/// A third of the upstreams tell at 10 s that they will be gone in 2 s.
fn short_notice(seed: u64) -> Report {
    let upstreams = (0..48).step_by(3);
    let troubles = upstreams.map(|number| {
        let id = id::Upstream::from(format!("u{number}"));
        (10_000, Trouble::Leaving(id, 2000))
    });
    let load = Load {
        length_ms: 16_000,
        ..Load::planning()
    };
    let setup = Setup {
        seed,
        troubles: troubles.collect(),
        ..Setup::default()
    };
    let mut world = World::new(setup, load);
    world.run_until(45_000);
    let (report, oracle) = world.finish();
    assert_eq!(oracle.breaches, vec![], "seed {seed}");
    report
}

/// Guards against a notice that is not used: runs that could not end were lost with their upstreams. Only those that
/// were nearly expected to end in time may be.
#[test]
fn little_is_lost_with_upstreams_that_give_notice() {
    let days: Vec<Report> = (0..SEEDS).map(short_notice).collect();
    let wasted: f64 = days.iter().map(|day| day.waste).sum();
    let ends = days.iter().flat_map(|day| &day.wasted);
    let lost: f64 = ends
        .filter(|((_, how), _)| *how == Outcome::Lapsed)
        .map(|(_, amount)| amount)
        .sum();
    assert!(lost < wasted / 10.0, "{lost:.0} of {wasted:.0} core-s");
}

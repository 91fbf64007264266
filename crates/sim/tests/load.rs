//! Load at its worst, replayed on a virtual clock: more work than fits, with a burst of short gangs.

use {
    plan::{engine, order::Policy},
    sim::{Load, Report, Setup, World},
};

/// Seeds played; each takes a second or two.
const SEEDS: u64 = 6;

/// A day with 1.6 times the planning platform's jobs and a burst of short gangs.
fn day(seed: u64, policy: Policy) -> Report {
    let load = Load {
        scale: 1.6,
        burst: Some((0, 3000, 9000, 2.2)),
        ..Load::planning()
    };
    let setup = Setup {
        seed,
        settings: engine::Settings {
            policy,
            ..engine::Settings::default()
        },
        ..Setup::default()
    };
    let end = load.length_ms + 25_000;
    let mut world = World::new(setup, load);
    world.run_until(end);
    let (report, oracle) = world.finish();
    assert_eq!(oracle.breaches, vec![], "seed {seed}");
    report
}

fn net(policy: Policy) -> f64 {
    let days = (0..SEEDS).map(|seed| day(seed, policy).net());
    days.sum::<f64>() / SEEDS as f64
}

/// Guards against rules that serve less, or throw more away, than a plain scheduler under too much load.
#[test]
fn net_worth_is_above_plain_baselines() {
    let own = net(Policy::Worth);
    for baseline in [Policy::Arrival, Policy::Priority] {
        let plain = net(baseline);
        assert!(own > plain, "{own:.3} against {plain:.3} of {baseline:?}");
    }
}

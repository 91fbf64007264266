//! Compares the scheduler with plain baselines under the same drawn loads: `compare [SEEDS] [SCALE]`.

use {
    plan::{engine, order::Policy},
    rand::{RngExt, SeedableRng, rngs::StdRng},
    sim::{Load, Report, Setup, Trouble, World},
    work::id,
};

/// Time after the last arrival that is still played, in milliseconds.
const REST_MS: u64 = 25_000;

/// A day of high load: a burst of short gangs, and a sixth of the upstreams slow for 8 s, twice, and some failing.
fn day(seed: u64, scale: f64, policy: Policy) -> Report {
    let mut rng = StdRng::seed_from_u64(seed);
    let load = Load {
        scale,
        burst: Some((0, 3000, 9000, 2.2)),
        ..Load::planning()
    };
    let mut troubles = Vec::new();
    for at in [6000, 20_000] {
        for _ in 0..8 {
            let host = id::Upstream::from(format!("u{}", rng.random_range(0..48)));
            troubles.push((at, Trouble::Slow(host, 5.5)));
        }
    }
    for _ in 0..4 {
        let host = id::Upstream::from(format!("u{}", rng.random_range(0..48)));
        troubles.push((
            rng.random_range(10_000..30_000),
            Trouble::Failing(host, 5000),
        ));
    }
    let end = load.length_ms + REST_MS;
    let setup = Setup {
        seed,
        troubles,
        settings: engine::Settings {
            policy,
            ..engine::Settings::default()
        },
        ..Setup::default()
    };
    let mut world = World::new(setup, load);
    world.run_until(end);
    world.finish().0
}

fn main() {
    let mut arguments = std::env::args().skip(1);
    let seeds: u64 = arguments
        .next()
        .and_then(|text| text.parse().ok())
        .unwrap_or(20);
    let scale: f64 = arguments
        .next()
        .and_then(|text| text.parse().ok())
        .unwrap_or(1.2);
    println!(
        "policy     net served waste short-on-time long-on-time sweep-on-time short-wait-p99-ms"
    );
    for policy in [Policy::Worth, Policy::Priority, Policy::Arrival] {
        let days: Vec<Report> = (0..seeds).map(|seed| day(seed, scale, policy)).collect();
        let mean = |value: &dyn Fn(&Report) -> f64| {
            days.iter().map(value).sum::<f64>() / days.len().max(1) as f64
        };
        println!(
            "{:<8} {:>6.3} {:>6.3} {:>5.3} {:>13.3} {:>12.3} {:>13.3} {:>17.0}",
            format!("{policy:?}"),
            mean(&Report::net),
            mean(&Report::served),
            mean(&|day| day.waste / (day.useful + day.waste).max(1.0)),
            mean(&|day| day.on_time("short")),
            mean(&|day| day.on_time("long")),
            mean(&|day| day.on_time("sweep")),
            mean(&|day| day.wait_ms("short", 0.99) as f64),
        );
    }
}

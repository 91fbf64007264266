//! Compares the scheduler with plain baselines under the same drawn loads:
//! `compare [SEEDS] [SCALE] [planning|grown|large|supply] [all|own]`.

use {
    indexmap::IndexMap,
    plan::{engine, order::Strategy},
    rand::{RngExt, SeedableRng, rngs::StdRng},
    sim::{Load, Report, Setup, Trouble, World},
    std::time::Duration,
    work::{id, upstream::Outcome},
};

/// Time after the last arrival that is still played, in milliseconds.
const REST_MS: u64 = 25_000;

/// A deployment at the size that the users state.
#[derive(Clone, Copy)]
enum Site {
    Planning,
    GrownRinging,
    LargePlanning,
    Supply,
}

impl Site {
    fn setup(self) -> (Setup, Load) {
        match self {
            Site::Planning => (Setup::default(), Load::planning()),
            Site::GrownRinging => {
                let setup = Setup {
                    upstreams: 350,
                    memory_mb: 131_072,
                    accounts: 10,
                    guaranteed: 173,
                    settings: engine::Settings {
                        stop_timeout: Duration::from_millis(200),
                        gang_timeout: Duration::from_millis(4000),
                        reclaim_time: Duration::from_millis(2700),
                        ..engine::Settings::default()
                    },
                    ..Setup::default()
                };
                (setup, Load::grown_ringing())
            }
            Site::LargePlanning => {
                let setup = Setup {
                    upstreams: 1100,
                    rack: 20,
                    memory_mb: 131_072,
                    accounts: 24,
                    guaranteed: 226,
                    settings: engine::Settings {
                        max_lease: Duration::from_millis(10_000),
                        stop_timeout: Duration::from_millis(900),
                        gang_timeout: Duration::from_millis(5000),
                        reclaim_time: Duration::from_millis(3400),
                        ..engine::Settings::default()
                    },
                    ..Setup::default()
                };
                (setup, Load::large_planning())
            }
            Site::Supply => {
                let setup = Setup {
                    upstreams: 350,
                    rack: 12,
                    cpu_milli: 64_000,
                    memory_mb: 131_072,
                    accounts: 10,
                    guaranteed: 173,
                    settings: engine::Settings {
                        stop_timeout: Duration::from_millis(200),
                        gang_timeout: Duration::from_millis(4000),
                        reclaim_time: Duration::from_millis(2700),
                        ..engine::Settings::default()
                    },
                    ..Setup::default()
                };
                (setup, Load::supply())
            }
        }
    }
}

/// A day of high load: a burst of short gangs, and a sixth of the upstreams slow for 8 s, twice, and some failing. On
/// the large platform a seventh of the upstreams leaves at short notice instead of turning slow the second time.
fn day(seed: u64, scale: f64, site: Site, strategy: Strategy) -> Report {
    let mut rng = StdRng::seed_from_u64(seed);
    let (setup, load) = site.setup();
    let load = Load {
        scale,
        burst: Some((0, 3000, 9000, 2.2)),
        ..load
    };
    let mut host = || id::Upstream::from(format!("u{}", rng.random_range(0..setup.upstreams)));
    let sixth = setup.upstreams / 6;
    let mut troubles = Vec::new();
    troubles.extend((0..sixth).map(|_| (6000, Trouble::Slow(host(), 5.5))));
    match site {
        Site::LargePlanning => {
            let seventh = setup.upstreams / 7;
            troubles.extend((0..seventh).map(|_| (14_000, Trouble::Leaving(host(), 1500))));
        }
        _ => troubles.extend((0..sixth).map(|_| (20_000, Trouble::Slow(host(), 5.5)))),
    }
    for _ in 0..sixth / 2 {
        troubles.push((13_000, Trouble::Failing(host(), 5000)));
    }
    let end = load.length_ms + REST_MS;
    let setup = Setup {
        seed,
        troubles,
        settings: engine::Settings {
            strategy,
            ..setup.settings.clone()
        },
        ..setup
    };
    let mut world = World::new(setup, load);
    world.run_until(end);
    world.finish().0
}

fn main() {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    let argument = |number: usize| arguments.get(number).map(String::as_str);
    let seeds: u64 = argument(0).and_then(|text| text.parse().ok()).unwrap_or(20);
    let scale: f64 = argument(1)
        .and_then(|text| text.parse().ok())
        .unwrap_or(1.2);
    let site = match argument(2) {
        Some("grown") => Site::GrownRinging,
        Some("large") => Site::LargePlanning,
        Some("supply") => Site::Supply,
        _ => Site::Planning,
    };
    let strategies: &[Strategy] = match argument(3) {
        Some("own") => &[Strategy::Worth],
        _ => &[
            Strategy::Worth,
            Strategy::Priority,
            Strategy::Arrival,
            Strategy::Deadline,
        ],
    };
    println!(
        "policy     net served waste short-worth long-worth sweep-worth short-on-time short-wait-p99-ms"
    );
    for strategy in strategies {
        let seeds: Vec<u64> = (0..seeds).collect();
        let threads =
            std::thread::available_parallelism().map_or(1, |count| count.get().div_ceil(2));
        let days: Vec<Report> = std::thread::scope(|scope| {
            let chunks = seeds.chunks(seeds.len().div_ceil(threads).max(1));
            let running: Vec<_> = chunks
                .map(|chunk| {
                    scope.spawn(move || {
                        let days = chunk.iter().map(|seed| day(*seed, scale, site, *strategy));
                        days.collect::<Vec<_>>()
                    })
                })
                .collect();
            let done = running.into_iter().filter_map(|thread| thread.join().ok());
            done.flatten().collect()
        });
        let mean = |value: &dyn Fn(&Report) -> f64| {
            days.iter().map(value).sum::<f64>() / days.len().max(1) as f64
        };
        println!(
            "{:<8} {:>5.3} {:>6.3} {:>5.3} {:>11.3} {:>10.3} {:>11.3} {:>13.3} {:>17.0}",
            format!("{strategy:?}"),
            mean(&Report::net),
            mean(&Report::served),
            mean(&|day| day.waste / (day.useful + day.waste).max(1.0)),
            mean(&|day| day.worth("short")),
            mean(&|day| day.worth("long")),
            mean(&|day| day.worth("sweep")),
            mean(&|day| day.on_time("short")),
            mean(&|day| day.wait_ms("short", 0.99) as f64),
        );
        let all: f64 = days.iter().map(|day| day.useful + day.waste).sum();
        let mut wasted: IndexMap<(&str, Outcome), f64> = IndexMap::new();
        for ((queue, how), amount) in days.iter().flat_map(|day| &day.wasted) {
            *wasted.entry((queue.as_str(), *how)).or_default() += amount / all;
        }
        for ((queue, how), share) in wasted {
            println!("    wasted by {queue}, {how}: {share:.3}");
        }
    }
}

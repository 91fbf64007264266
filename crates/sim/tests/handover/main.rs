//! Days on which leaders change while orders are under way, and upstreams leave: no promise of the scheduler is broken.

mod survey;

use {
    plan::engine,
    rand::{RngExt, SeedableRng, rngs::StdRng},
    sim::{Breach, Departures, Farewell, Faults, Load, Members, Processor, Setup, Trouble, World},
    std::time::Duration,
    work::id,
};

/// Arrivals end here; the rest of the day lets things settle.
const LOAD_MS: u64 = 20_000;
const DAY_MS: u64 = 60_000;

/// Number of upstreams, and of those on days with short tasks.
const UPSTREAMS: usize = 24;
const FEW_UPSTREAMS: usize = 3;

/// Number of upstreams of the large planning platform.
const MANY_UPSTREAMS: usize = 1100;

/// How leaders change.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Change {
    None,
    /// The leader ends.
    Killed,
    /// The leader stands still between a decision and its sending, and does not lead any more when it goes on.
    Frozen,
    /// The same, and it goes on for up to the given milliseconds as if it led.
    FrozenGoingOn(u64),
    /// The leader is cut off from the others only, and goes on for up to the given milliseconds as if it led.
    Isolated(u64),
    /// Any of the above.
    Any,
}

/// A kind of day.
#[derive(Clone, Copy, Debug)]
struct Day {
    change: Change,
    /// Whether all instances are killed at once, too.
    all_killed: bool,
    /// Whether upstreams start again under their ids.
    reborn: bool,
    /// How upstreams are removed that leave, if any do.
    departures: Option<Departures>,
    /// Share of departures that aren't acknowledged, and of those of which the message is lost.
    unanswered: f64,
    lost: f64,
    /// Whether the work is many short tasks on few upstreams, so that an upstream has hundreds of ends.
    short_tasks: bool,
    /// Whether several times as many orders go wrong, and leaders change one after the other.
    heavy: bool,
    /// Whether there are 1,100 upstreams, of which hundreds leave if any do.
    large: bool,
}

const CALM: Day = Day {
    change: Change::None,
    all_killed: false,
    reborn: false,
    departures: None,
    unanswered: 0.0,
    lost: 0.0,
    short_tasks: false,
    heavy: false,
    large: false,
};

/// The kinds of days by name.
fn kinds() -> Vec<(&'static str, Day)> {
    let change = |change| Day { change, ..CALM };
    let reborn = |day: Day| Day {
        reborn: true,
        ..day
    };
    let departures = |change, departures, unanswered, lost| Day {
        change,
        departures: Some(departures),
        unanswered,
        lost,
        ..CALM
    };
    let any = change(Change::Any);
    let killed = Day {
        all_killed: true,
        ..change(Change::Killed)
    };
    let short = |day: Day| Day {
        short_tasks: true,
        ..day
    };
    let heavy = |day: Day| Day { heavy: true, ..day };
    let large = |day: Day| Day { large: true, ..day };
    vec![
        ("heavy", heavy(any)),
        ("heavy_killed", heavy(change(Change::Killed))),
        ("heavy_reborn", heavy(reborn(any))),
        ("heavy_killed_reborn", heavy(reborn(change(Change::Killed)))),
        ("heavy_frozen_reborn", heavy(reborn(change(Change::Frozen)))),
        ("large", large(any)),
        (
            "large_leave",
            large(departures(Change::Frozen, Departures::ByLeader, 0.1, 0.1)),
        ),
        (
            "large_leave_at_once",
            large(departures(Change::Frozen, Departures::AtOnce, 0.1, 0.1)),
        ),
        ("many_ends", short(CALM)),
        ("many_ends_leaders", short(change(Change::Any))),
        ("many_ends_reborn", short(reborn(CALM))),
        (
            "many_ends_reborn_leaders",
            short(reborn(change(Change::Killed))),
        ),
        ("killed", change(Change::Killed)),
        ("frozen", change(Change::Frozen)),
        ("frozen_going_on", change(Change::FrozenGoingOn(3000))),
        ("isolated", change(Change::Isolated(1000))),
        ("isolated_long", change(Change::Isolated(4000))),
        ("any", any),
        ("all_killed", killed),
        ("killed_reborn", reborn(change(Change::Killed))),
        ("frozen_reborn", reborn(change(Change::Frozen))),
        (
            "going_on_reborn",
            reborn(change(Change::FrozenGoingOn(3000))),
        ),
        ("any_reborn", reborn(any)),
        ("all_killed_reborn", reborn(killed)),
        (
            "leave_at_once_answered",
            departures(Change::None, Departures::AtOnce, 0.0, 0.0),
        ),
        (
            "leave_at_once",
            departures(Change::None, Departures::AtOnce, 0.3, 0.2),
        ),
        (
            "leave_at_once_leaders",
            departures(Change::Killed, Departures::AtOnce, 0.3, 0.2),
        ),
        (
            "leave_answered",
            departures(Change::None, Departures::ByLeader, 0.0, 0.0),
        ),
        (
            "leave",
            departures(Change::None, Departures::ByLeader, 0.3, 0.2),
        ),
        (
            "leave_leaders",
            departures(Change::Killed, Departures::ByLeader, 0.3, 0.2),
        ),
        (
            "leave_frozen",
            departures(Change::Frozen, Departures::ByLeader, 0.3, 0.2),
        ),
        (
            "leave_reborn",
            reborn(departures(Change::Killed, Departures::ByLeader, 0.3, 0.2)),
        ),
    ]
}

fn load() -> Load {
    Load {
        length_ms: LOAD_MS,
        ..Load::planning()
    }
}

/// Jobs of many tasks of about 150 ms, of which an upstream runs up to 64 at a time.
fn short_load() -> Load {
    let mut load = load();
    let mut kind = load.kinds.remove(2);
    kind.rate = 4.0;
    kind.width = 100.0;
    kind.work_ms = 150.0;
    kind.room.cpu_milli = 500;
    kind.room.memory_mb = 500;
    kind.accelerators = &[0];
    load.kinds = vec![kind];
    load
}

fn host(rng: &mut StdRng, upstreams: usize) -> id::Upstream {
    id::Upstream::from(format!("u{}", rng.random_range(0..upstreams)))
}

fn change_by(change: Change, rng: &mut StdRng, upstreams: usize) -> Trouble {
    match change {
        Change::None | Change::Killed => Trouble::NewLeader,
        Change::Frozen => Trouble::FrozenLeader(rng.random_range(2000..6500), 0),
        Change::FrozenGoingOn(most_ms) => {
            let on_ms = rng.random_range(200..most_ms);
            Trouble::FrozenLeader(rng.random_range(2000..6500), on_ms)
        }
        Change::Isolated(most_ms) => {
            let with = (0..rng.random_range(0..6))
                .map(|_| host(rng, upstreams))
                .collect();
            Trouble::IsolatedLeader(rng.random_range(200..most_ms), with)
        }
        Change::Any => {
            let change_to = match rng.random_range(0..4) {
                0 => Change::Killed,
                1 => Change::Frozen,
                2 => Change::FrozenGoingOn(1000),
                _ => Change::Isolated(250),
            };
            change_by(change_to, rng, upstreams)
        }
    }
}

fn platform(day: Day, upstreams: usize) -> Setup {
    let small = Setup {
        upstreams,
        guaranteed: 29,
        ..Setup::default()
    };
    match day.large {
        false => small,
        true => Setup {
            rack: 20,
            memory_mb: 131_072,
            accounts: 24,
            guaranteed: 226,
            processor: Processor {
                per_entry: Duration::from_micros(2),
                per_event: Duration::from_micros(100),
            },
            settings: engine::Settings {
                max_lease: Duration::from_millis(10_000),
                stop_timeout: Duration::from_millis(900),
                gang_timeout: Duration::from_millis(5000),
                reclaim_time: Duration::from_millis(3400),
                ..engine::Settings::default()
            },
            ..small
        },
    }
}

fn world(day: Day, seed: u64) -> World {
    let mut rng = StdRng::seed_from_u64(seed);
    let upstreams = match day {
        _ if day.short_tasks => FEW_UPSTREAMS,
        _ if day.large => MANY_UPSTREAMS,
        _ => UPSTREAMS,
    };
    // Upstreams that meet a trouble, beside what is drawn.
    let scale = if day.large { 20 } else { 1 };
    let mut troubles = Vec::new();
    if day.change != Change::None {
        // Several within a few seconds, or over the day.
        let first_ms = rng.random_range(1000..12_000);
        let span_ms = if rng.random_bool(0.5) { 6000 } else { 14_000 };
        let changes = if day.heavy { 3..6 } else { 1..5 };
        for _ in 0..rng.random_range(changes) {
            let at_ms = first_ms + rng.random_range(0..span_ms);
            troubles.push((at_ms, change_by(day.change, &mut rng, upstreams)));
        }
    }
    if day.all_killed {
        troubles.push((rng.random_range(1000..18_000), Trouble::AllKilled));
    }
    for _ in 0..scale * rng.random_range(4..12) {
        // Cut off once for long or several times shortly.
        let upstream = host(&mut rng, upstreams);
        let at_ms = rng.random_range(500..LOAD_MS);
        if rng.random_bool(0.5) {
            let for_ms = rng.random_range(1000..9000);
            troubles.push((at_ms, Trouble::Cut(upstream, for_ms)));
            continue;
        }
        for number in 0..rng.random_range(2..6) {
            let for_ms = rng.random_range(200..900);
            troubles.push((
                at_ms + number * 1200,
                Trouble::Cut(upstream.clone(), for_ms),
            ));
        }
    }
    if day.reborn {
        let restarts = if day.heavy { 10..20 } else { 2..8 };
        for _ in 0..rng.random_range(restarts) {
            let at_ms = rng.random_range(500..LOAD_MS);
            troubles.push((at_ms, Trouble::Reborn(host(&mut rng, upstreams))));
        }
    }
    if day.departures.is_some() {
        for _ in 0..scale * rng.random_range(2..8) {
            let at_ms = rng.random_range(500..LOAD_MS);
            let draw: f64 = rng.random();
            let farewell = match draw {
                _ if draw < day.unanswered => Farewell::Unanswered,
                _ if draw < day.unanswered + day.lost => Farewell::Lost,
                _ => Farewell::Answered,
            };
            let after_ms = rng.random_range(300..4000);
            let on_ms = rng.random_range(1000..4000);
            let leaving = Trouble::Departing(host(&mut rng, upstreams), after_ms, farewell, on_ms);
            troubles.push((at_ms, leaving));
        }
    }
    let share = if day.heavy { 3.0 } else { 1.0 };
    let setup = Setup {
        faults: Faults {
            lost: share * rng.random_range(0.0..0.03),
            unanswered: share * rng.random_range(0.0..0.03),
            late: share * rng.random_range(0.0..0.06),
        },
        troubles,
        members: Some(Members {
            count: 3,
            lost: 0.1,
            late: 0.1,
        }),
        departures: day.departures.unwrap_or_default(),
        seed,
        ..platform(day, upstreams)
    };
    let load = match day {
        _ if day.short_tasks => short_load(),
        _ if day.large => Load {
            length_ms: LOAD_MS,
            ..Load::large_planning()
        },
        _ => load(),
    };
    World::new(setup, load)
}

fn breaches(day: Day, seed: u64) -> Vec<Breach> {
    let mut world = world(day, seed);
    world.run_until(DAY_MS);
    world.finish().1.breaches
}

/// Number of days that `SIM_SEEDS` asks for.
fn days() -> u64 {
    let days = std::env::var("SIM_SEEDS").ok();
    days.and_then(|text| text.parse().ok()).unwrap_or(8)
}

/// A kind of day by its name.
fn kind(name: &str) -> Day {
    let found = kinds().into_iter().find(|(known, _)| *known == name);
    found.unwrap().1
}

/// The days of a kind that broke a promise, with their seeds.
fn failed(name: &str, seeds: impl IntoIterator<Item = u64>) -> Vec<(u64, Vec<Breach>)> {
    let days = seeds
        .into_iter()
        .map(|seed| (seed, breaches(kind(name), seed)));
    days.filter(|(_, breaches)| !breaches.is_empty()).collect()
}

fn check(names: &[&str]) {
    for name in names {
        let failed = failed(name, 0..days());
        assert!(failed.is_empty(), "{name}: {failed:?}");
    }
}

/// Guards against a task that runs twice, or again after its end, because leaders change in quick succession, stand still
/// between a decision and its sending, go on for a while as if they led, or all end at once. No upstream starts again.
/// `SIM_SEEDS` sets the number of days of each kind.
#[test]
fn no_promise_is_broken_when_leaders_change() {
    check(&[
        "killed",
        "frozen",
        "frozen_going_on",
        "any",
        "all_killed",
        "heavy",
    ]);
}

/// The same, and upstreams start again under their ids.
#[test]
fn no_promise_is_broken_when_leaders_change_and_upstreams_start_again() {
    check(&[
        "killed_reborn",
        "frozen_reborn",
        "going_on_reborn",
        "any_reborn",
    ]);
}

/// Guards against a task that runs twice because its upstream runs on after it has deregistered: it is removed from the
/// registry only once it has no run there.
#[test]
fn no_promise_is_broken_when_upstreams_leave_once_they_are_idle() {
    check(&[
        "leave_answered",
        "leave",
        "leave_leaders",
        "leave_frozen",
        "leave_reborn",
    ]);
}

/// The same with short tasks, of which an upstream has hundreds of ends that are not released.
#[test]
fn no_promise_is_broken_with_hundreds_of_ends() {
    check(&["many_ends", "many_ends_leaders"]);
}

/// Guards against ends that nobody has seen and that a hold to the earlier incarnation of their upstream releases: each
/// incarnation numbers its ends anew.
#[test]
fn a_hold_releases_no_ends_of_the_next_incarnation() {
    let failed = failed("many_ends_reborn", [0, 2]);
    assert!(failed.is_empty(), "{failed:?}");
}

/// The same at 1,100 upstreams with a leader whose steps take time, one day of each kind.
#[test]
fn no_promise_is_broken_at_1100_upstreams() {
    for name in ["large", "large_leave"] {
        assert_eq!(failed(name, [0]), vec![], "{name}");
    }
}

/// Guards against a task that starts elsewhere while its upstream, which has deregistered and got no acknowledgement, runs
/// it on for some seconds.
#[test]
fn a_task_runs_once_while_its_upstream_leaves() {
    let failed = failed("leave", [114, 178, 261, 363, 380]);
    assert!(failed.is_empty(), "{failed:?}");
}

/// Guards against an open start that the next leader does not know of: its run was being started when it was told, and over
/// at the takeover. The upstream starts again and carries it out.
#[test]
fn an_open_start_of_a_run_that_is_over_at_the_takeover_is_inherited() {
    let mut failed_days = failed("heavy_reborn", [222]);
    failed_days.extend(failed("heavy_killed_reborn", [94, 248]));
    assert!(failed_days.is_empty(), "{failed_days:?}");
}

/// Guards against an open start that the leader after the next does not know of: the report of the second leader was not
/// remembered. The upstream starts again and carries it out.
#[test]
fn an_open_start_outlives_two_changes_of_the_leader() {
    let failed = failed("heavy_reborn", [214]);
    assert!(failed.is_empty(), "{failed:?}");
}

/// Guards against the end of a task that is noted and not counted, because a late start of a run that was over has done
/// the work on the next incarnation of its upstream.
#[test]
fn the_end_of_a_run_that_was_over_is_counted() {
    let failed = failed("heavy_reborn", [121]);
    assert!(failed.is_empty(), "{failed:?}");
}

/// Guards against ends that are released while a start is open of which the leader does not know, because all instances
/// were killed. The upstream starts again and carries it out.
#[test]
fn an_end_is_kept_for_open_starts_when_all_instances_are_killed() {
    let failed = failed("all_killed_reborn", [120]);
    assert!(failed.is_empty(), "{failed:?}");
}

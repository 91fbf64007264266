//! A randomized soak: the real programs as separate processes on loopback, with faults from outside.
//!
//! Five control and two entry instances run with the platform's settings; stand-in upstreams and callers watch the
//! promises while processes are killed, paused and restarted, disks lost, zones evacuated, and the connections to upstreams and entry
//! instances delayed, reset, cut one way or silenced. By hand:
//!
//! ```sh
//! SOAK_SEEDS=1..51 SOAK_SECONDS=20 cargo test -p daemon --test soak -- --nocapture
//! ```
//!
//! The seed decides the faults and their times; real time decides how they meet, so a seed need not fail each time.

mod caller;
mod cluster;
mod exchange;
mod fault;
mod judge;
mod proxy;
mod upstream;

use {
    caller::Work,
    cluster::Cluster,
    rand::{RngExt, SeedableRng, rngs::StdRng},
    serde_json::json,
    std::{
        ops::Range,
        sync::{
            Arc,
            atomic::{AtomicBool, Ordering},
        },
        thread,
        time::{Duration, Instant},
    },
    upstream::Upstream,
};

/// Time after the last fault in which every accepted job must end.
const SETTLE: Duration = Duration::from_secs(60);

/// Seeds that once failed, each with its cause; they run in CI.
///
/// - none so far. Seed 19 failed once because three soaks at the same time shared addresses; each now claims its own.
const REGRESSIONS: [u64; 0] = [];

fn seeds() -> Vec<u64> {
    let given = std::env::var("SOAK_SEEDS").ok();
    let range: Option<Range<u64>> = given.and_then(|text| {
        let (from, to) = text.split_once("..")?;
        Some(from.parse().ok()?..to.parse().ok()?)
    });
    match range {
        Some(range) => range.collect(),
        None => REGRESSIONS.iter().copied().chain([1]).collect(),
    }
}

fn seconds() -> u64 {
    let given = std::env::var("SOAK_SECONDS").ok();
    given.and_then(|text| text.parse().ok()).unwrap_or(12)
}

/// Guards against a soak that sees nothing: each planted breach is found.
#[test]
fn the_judge_finds_planted_breaches() {
    let judge = judge::Judge::default();
    let start = judge::Start {
        fits: true,
        is_late: false,
    };
    let overfull = judge::Start {
        fits: false,
        ..start
    };
    judge.submitted("a");
    judge.begun(0, "a.0.0.0", start);
    assert_eq!(judge.breaches().len(), 0);
    judge.begun(1, "a.0.0.0", start);
    judge.over(0, "a.0.0.0");
    judge.over(1, "a.0.0.0");
    judge.done(1, "a.0.0.0");
    judge.noted(1, "a.0.0.0");
    judge.begun(1, "a.0.0.0", overfull);
    judge.begun(2, "b.0.0.0", start);
    let long_ago = Instant::now().checked_sub(Duration::from_secs(9));
    judge.evacuated(long_ago.map(|at| (1, at)));
    judge.submitted("c");
    judge.begun(0, "c.0.0.0", start);
    judge.begun(3, "c.0.0.1", start);
    judge.over(0, "c.0.0.0");
    judge.done(0, "c.0.0.0");
    judge.begun(0, "c.0.0.0", start);
    judge.noted(0, "c.0.0.0");
    let expected = [
        "a.0.0.0 runs on {0, 1}",
        "a.0.0.0 overfills upstream 1",
        "a.0.0.0 was started after it was done",
        "b.0.0.0 was not asked for",
        "c.0.0.1 was started in the evacuated zone 1",
        "c.0.0.0 was started between its end as done and the note of it",
    ];
    assert_eq!(judge.breaches(), expected);
}

/// Guards against an oracle that takes note of an end although the lease was over in between, or of none.
#[test]
fn an_end_is_noted_unless_the_lease_was_over_before() {
    let breaches = |lease_ms: u64| {
        let (judge, over) = (Arc::default(), Arc::<AtomicBool>::default());
        let nobody = "127.0.0.1:1".parse().unwrap();
        let link = Upstream::spawn(0, Duration::ZERO, &[nobody], &judge, &over);
        let call = |request: &str, body: serde_json::Value| {
            let address = link.proxy.address;
            let limit = Duration::from_secs(5);
            let answer = exchange::call(address, request, "Host: c\r\n", &body.to_string(), limit);
            assert_eq!(answer.unwrap().status(), 200);
        };
        let task = "000000000000000a.0.0.0";
        judge.submitted("000000000000000a");
        call(
            "POST /run-start",
            json!({"task": task, "run": 1, "deadlineMs": lease_ms, "fencingToken": 1}),
        );
        thread::sleep(Duration::from_secs(1));
        call("POST /hold", json!({"fencingToken": 1, "lastSeen": 1}));
        let start = judge::Start {
            fits: true,
            is_late: false,
        };
        judge.begun(1, task, start);
        over.store(true, Ordering::Relaxed);
        judge.breaches()
    };
    assert_eq!(breaches(700), [""; 0]);
    let expected = ["000000000000000a.0.0.0 was started after it was done"];
    assert_eq!(breaches(5000), expected);
}

/// Guards against promises broken by faults in series that the model does not know: real sockets, signals and disks.
#[test]
fn promises_hold_under_faults_from_outside() {
    let failed = failed_seeds(|seed| play(seed, Work::Short, fault::strike));
    assert!(failed.is_empty(), "{failed:#?}");
}

/// Guards against tasks on two upstreams at once: an upstream starts again under its id, carries out calls to its earlier
/// incarnation, and is cut off.
#[test]
fn nothing_runs_twice_when_upstreams_start_again_under_their_ids() {
    let failed = failed_seeds(|seed| play(seed, Work::Long, fault::restart_zone));
    assert!(failed.is_empty(), "{failed:#?}");
}

/// Guards against tasks on two upstreams at once: an upstream that has deregistered works on until it ends.
#[test]
fn nothing_runs_twice_when_upstreams_leave() {
    let failed = failed_seeds(|seed| play(seed, Work::Sparse, fault::leave));
    assert!(failed.is_empty(), "{failed:#?}");
}

fn failed_seeds(play: impl Fn(u64) -> Vec<String>) -> Vec<(u64, Vec<String>)> {
    let mut failed = Vec::new();
    for seed in seeds() {
        let breaches = play(seed);
        println!("soak seed={seed} breaches={breaches:?}");
        if !breaches.is_empty() {
            failed.push((seed, breaches));
        }
    }
    failed
}

fn play(seed: u64, work: Work, strike: impl Fn(&mut Cluster, &mut StdRng)) -> Vec<String> {
    let mut rng = StdRng::seed_from_u64(seed);
    let mut cluster = Cluster::start(seed);
    cluster.configure();
    let callers = cluster.call_for(Duration::from_secs(seconds()), work, &mut rng);
    let end = Instant::now() + Duration::from_secs(seconds());
    while Instant::now() < end {
        strike(&mut cluster, &mut rng);
        thread::sleep(Duration::from_millis(rng.random_range(100..2500)));
    }
    cluster.mend();
    cluster.readmit();
    let accepted = callers.finish();
    cluster.await_ends(&accepted, SETTLE);
    cluster.stop()
}

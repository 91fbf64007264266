//! Urgent gangs on a full service, for which running work has to be stopped.

use {
    sim::{Arrival, Load, Setup, Truth, World},
    work::{
        id,
        job::{Definition, Resources, Step},
        upstream::Outcome,
    },
};

/// Upstreams of a rack, with 8 accelerators each.
const RACK: usize = 4;

/// Priorities, which are also the positions of the load's kinds.
const URGENT: usize = 0;
const LONG: usize = 1;
const SWEEP: usize = 2;

/// Time that long gangs and sweeps take, in milliseconds.
const LONG_WORK_MS: u64 = 20_000;

fn arrival(number: u64, at_ms: u64, kind: usize, work_ms: u64, step: Step) -> Arrival {
    Arrival {
        at_ms,
        job: id::Job(number),
        kind,
        account: "account-0".into(),
        truth: Truth {
            work_ms: vec![vec![work_ms; usize::from(step.count)]],
            failures: vec![0],
            ..Truth::default()
        },
        form: Definition {
            spec: "work".into(),
            steps: vec![Step {
                estimate_ms: work_ms as u32,
                ..step
            }],
            repeat: None,
        },
    }
}

fn step(count: u16, accelerators: i64, gang: bool) -> Step {
    Step {
        count,
        need: Resources {
            accelerators,
            ..Resources::default()
        },
        gang,
        same_rack: gang,
        ..Step::default()
    }
}

/// Guards against a gang that loses the room that is being freed for it to a smaller one, and has other work stopped
/// again: the work of a whole second rack is thrown away.
#[test]
fn room_that_is_being_freed_for_a_gang_stays_reserved() {
    let load = Load {
        length_ms: 0,
        ..Load::planning()
    };
    let setup = Setup {
        upstreams: 3 * RACK,
        rack: RACK,
        guaranteed: 0,
        ..Setup::default()
    };
    let mut world = World::new(setup, load);
    let whole_rack = step(RACK as u16, 8, true);
    world.submit(arrival(1, 100, LONG, LONG_WORK_MS, whole_rack.clone()));
    world.submit(arrival(
        2,
        300,
        SWEEP,
        LONG_WORK_MS,
        step(16 * RACK as u16, 1, false),
    ));
    world.submit(arrival(3, 2000, URGENT, 2000, whole_rack));
    world.submit(arrival(4, 2100, URGENT, 500, step(1, 8, true)));
    world.run_until(10_000);
    let (report, oracle) = world.finish();
    assert_eq!(oracle.breaches, vec![]);
    let stopped = report
        .wasted
        .iter()
        .filter(|((_, how), _)| *how == Outcome::Stopped);
    let stopped: f64 = stopped.map(|(_, amount)| amount).sum();
    // Two seconds of work on a rack and one more upstream; an accelerator counts as 8 cores.
    let needed = 2.2 * ((RACK + 1) * 8 * 8) as f64;
    assert!(stopped <= needed, "{:?}", report.wasted);
    assert_eq!(report.on_time("short"), 1.0, "{report}");
}

/// Guards against a gang that is started on its reserved places although the decisions of the policy service about them
/// have expired while the preempted work was stopping: its starts are refused.
#[test]
fn reserved_places_need_a_valid_decision() {
    let load = Load {
        length_ms: 0,
        ..Load::planning()
    };
    let setup = Setup {
        upstreams: RACK,
        rack: RACK,
        guaranteed: 0,
        advice_valid_ms: Some(400),
        ..Setup::default()
    };
    let mut world = World::new(setup, load);
    let whole_rack = step(RACK as u16, 8, true);
    world.submit(arrival(1, 100, LONG, LONG_WORK_MS, whole_rack.clone()));
    world.submit(arrival(2, 2000, URGENT, 2000, whole_rack));
    world.run_until(30_000);
    let (_, oracle) = world.finish();
    assert_eq!(oracle.breaches, vec![]);
}

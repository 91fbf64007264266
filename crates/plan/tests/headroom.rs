//! Room that is kept free: for urgent work that comes soon, and for gangs that wait.

mod unit;

use {
    plan::{
        headroom::{Headroom, Supply},
        order::Rank,
        reclaim,
    },
    std::time::{Duration, Instant},
    unit::unit,
    work::job::{Resources, Step},
};

fn room(accelerators: i64) -> Resources {
    Resources {
        accelerators,
        ..Resources::default()
    }
}

fn step(count: u16, accelerators: i64, gang: bool) -> Step {
    Step {
        count,
        need: room(accelerators),
        gang,
        ..Step::default()
    }
}

/// Guards against sweeps that fill the room of each urgent gang that ends and are stopped for the next one.
#[test]
fn room_left_by_urgent_work_stays_free_for_the_next() {
    let start = Instant::now();
    let mut headroom = Headroom::new(start);
    headroom.observe(room(64), start);
    assert_eq!(
        headroom.accelerators(),
        0,
        "in use, so nothing is kept beside it"
    );
    headroom.observe(room(24), start + Duration::from_millis(100));
    assert!((38..=40).contains(&headroom.accelerators()));
    headroom.observe(room(64), start + Duration::from_millis(600));
    assert_eq!(headroom.accelerators(), 0);
}

/// Guards against accelerators that idle for good after the last urgent job.
#[test]
fn kept_room_is_given_up_once_urgent_work_is_gone() {
    let start = Instant::now();
    let mut headroom = Headroom::new(start);
    headroom.observe(room(100), start);
    let mut kept = Vec::new();
    for second in 1..=60 {
        headroom.observe(room(0), start + Duration::from_secs(second));
        kept.push(headroom.accelerators());
    }
    assert!(kept.is_sorted_by(|a, b| a >= b));
    assert_eq!(kept.last(), Some(&0));
}

/// Guards against kept room that is withheld from the work it is kept for.
#[test]
fn only_other_work_is_kept_out() {
    let supply = Supply {
        capacity: 100,
        free: 20,
        reserved: 20,
        gang_reserve: 0,
    };
    let (gang, sweep) = (step(2, 8, true), step(30, 1, false));
    assert_eq!(supply.allowance(&unit(&gang, 0, Rank::Urgent)), 2);
    assert_eq!(supply.allowance(&unit(&gang, 1, Rank::OnTime(1))), 0);
    assert_eq!(supply.allowance(&unit(&sweep, 2, Rank::OnTime(2))), 0);
    let mut supply = supply;
    supply.allocate(&unit(&gang, 0, Rank::Urgent), 2);
    assert_eq!((supply.free, supply.reserved), (4, 4));
}

/// Guards against a job that waits in a service of which half is idle, because urgent work has just left it.
#[test]
fn nothing_is_kept_while_half_is_idle() {
    let supply = |free| {
        let mut supply = Supply {
            capacity: 100,
            free,
            ..Supply::default()
        };
        supply.reserve_for_urgent(45);
        supply
    };
    assert_eq!(supply(51).reserved, 0);
    assert_eq!(supply(50).reserved, 45);
}

/// Guards against tasks that last and wait for urgent work which has not arrived.
#[test]
fn tasks_that_last_are_not_kept_out() {
    let supply = Supply {
        capacity: 100,
        free: 20,
        reserved: 20,
        gang_reserve: 5,
    };
    let lasting = Step {
        lasting: true,
        ..step(3, 1, false)
    };
    assert_eq!(supply.allowance(&unit(&lasting, 2, Rank::OnTime(2))), 3);
}

/// Guards against gangs of priority 1 that never start because single tasks take each accelerator that is freed.
#[test]
fn single_tasks_leave_room_to_gangs_that_wait() {
    let mut supply = Supply {
        capacity: 200,
        free: 12,
        reserved: 0,
        gang_reserve: 0,
    };
    let (gang, sweep) = (step(4, 8, true), step(30, 1, false));
    let sweep = unit(&sweep, 2, Rank::OnTime(2));
    assert_eq!(supply.allowance(&sweep), 12);
    supply.reserve_for_gang(&unit(&gang, 1, Rank::Late(1)));
    assert_eq!(supply.allowance(&sweep), 12, "late gangs have no claim");
    supply.reserve_for_gang(&unit(&gang, 1, Rank::OnTime(1)));
    assert_eq!(supply.allowance(&sweep), 2);
    supply.reserve_for_gang(&unit(&gang, 1, Rank::OnTime(1)));
    assert_eq!(
        supply.allowance(&sweep),
        2,
        "the claim of all gangs is bounded"
    );
}

/// Guards against stopping work that loses everything while work that saves as it stops runs beside it.
#[test]
fn work_that_saves_loses_only_its_restart() {
    let task = room(1);
    let saving = reclaim::lost_work(&task, Duration::from_secs(30), true);
    let plain = reclaim::lost_work(&task, Duration::from_secs(2), false);
    assert!(saving < plain, "{saving} {plain}");
    assert_eq!(plain, 16.0);
}

/// Guards against throwing away more for an urgent gang than it is worth, and against a limit that leaves large
/// gangs waiting.
#[test]
fn the_work_thrown_away_is_bounded_by_the_gang_s_own() {
    let limit = |work| Rank::Urgent.preemption_budget(work).unwrap_or(0.0);
    assert!(limit(100.0) < limit(1000.0));
    assert!(limit(10_000.0) < 10_000.0);
    assert_eq!(Rank::OnTime(1).preemption_budget(1000.0), None);
    assert_eq!(Rank::Guaranteed.preemption_budget(0.0), Some(f64::INFINITY));
}

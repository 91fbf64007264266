//! Runs on upstreams that are about to leave.

use {
    plan::{engine::Drain, learn},
    std::time::Duration,
};

const STOP: Duration = Duration::from_millis(200);

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// Guards against gangs that work on for nothing on an upstream taken away at short notice, and start elsewhere only
/// when it is gone.
#[test]
fn a_run_that_cannot_end_in_time_starts_elsewhere_at_once() {
    let decide = |need, left| Drain::decide(ms(need), ms(left), STOP, false);
    assert_eq!(decide(9000, 2000), Drain::Evacuate);
    assert_eq!(decide(1500, 2000), Drain::Keep);
    assert_eq!(decide(2500, 2000), Drain::Keep, "it may stay longer");
}

/// Guards against the loss of work since the last checkpoint, and against stops that come too late to be carried out.
#[test]
fn a_run_that_saves_works_as_long_as_it_can_be_stopped() {
    let decide = |need, left| Drain::decide(ms(need), ms(left), STOP, true);
    assert_eq!(decide(9000, 2000), Drain::Keep);
    assert_eq!(decide(9000, 500), Drain::Evacuate);
    assert_eq!(decide(300, 500), Drain::Keep);
}

/// Guards against estimates that trust a declared duration when the run itself shows its speed.
#[test]
fn the_rest_of_a_run_follows_from_its_progress() {
    let rest = |percent, resumed| learn::remaining(ms(1000), ms(4000), percent, resumed);
    assert_eq!(rest(50, false), ms(4000));
    assert_eq!(rest(5, false), ms(950), "too little progress to tell");
    assert_eq!(
        rest(50, true),
        ms(500),
        "part of the progress was there before"
    );
    assert_eq!(rest(100, false), ms(0));
}

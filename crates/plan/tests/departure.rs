//! Runs on upstreams that are about to leave.

use {
    plan::{engine::Drain, learn},
    std::time::Duration,
};

const STOP: Duration = Duration::from_millis(200);

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// Guards against gangs that go on without a chance to finish on an upstream about to leave, and start elsewhere only
/// after it has left.
#[test]
fn a_run_that_cannot_end_in_time_starts_elsewhere_at_once() {
    let decide = |need, left| Drain::decide(ms(need), ms(left), STOP, false);
    assert_eq!(decide(9000, 2000), Drain::Evacuate);
    assert_eq!(decide(1500, 2000), Drain::Keep);
    assert_eq!(
        decide(2500, 2000),
        Drain::Keep,
        "the upstream may stay longer"
    );
}

/// Guards against the loss of work since the last checkpoint, and against stops that are sent too late to be carried
/// out.
#[test]
fn a_run_with_checkpoints_goes_on_as_long_as_it_can_be_stopped() {
    let decide = |need, left| Drain::decide(ms(need), ms(left), STOP, true);
    assert_eq!(decide(9000, 2000), Drain::Keep);
    assert_eq!(decide(9000, 500), Drain::Evacuate);
    assert_eq!(decide(300, 500), Drain::Keep);
}

/// Guards against an estimate that uses the declared duration although the run's own speed is known.
#[test]
fn remaining_time_follows_from_progress() {
    let rest = |percent, resumed| learn::remaining(ms(1000), ms(4000), percent, resumed);
    assert_eq!(rest(50, false), ms(4000));
    assert_eq!(
        rest(5, false),
        ms(950),
        "too little progress for an estimate"
    );
    assert_eq!(
        rest(50, true),
        ms(500),
        "part of the progress was made before the checkpoint"
    );
    assert_eq!(rest(100, false), ms(0));
}

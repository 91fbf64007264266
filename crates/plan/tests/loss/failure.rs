//! Tasks that fail on one upstream after another.

use {
    crate::{
        cluster::{Cluster, FAILING, Return},
        work_load::step,
    },
    work::{id, job::Step, registry::State},
};

const OTHER: id::Job = id::Job(1);

/// Time in which all attempts of a task are made, one after another.
const ALL_ATTEMPTS_MS: u64 = 30_000;

/// Longest time after its last run in which a lasting task may have none, if there is capacity.
const MAX_RESTART_MS: u64 = 6000;

const POLL_MS: u64 = 100;

fn state(cluster: &Cluster, job: id::Job) -> Option<State> {
    cluster.registry.job(job).map(|job| job.state)
}

/// Guards against a job that waits for ever with attempts left: a step that had failed once on each upstream was not
/// started on any of them again.
#[test]
fn a_step_that_has_failed_on_each_upstream_uses_its_attempts() {
    let mut cluster = Cluster::new(6, Return::NewId);
    let spread = Step {
        spread: Some(1),
        ..step(4, 1)
    };
    cluster.submit_step(FAILING, spread);
    cluster.run_for(ALL_ATTEMPTS_MS);
    assert_eq!(state(&cluster, FAILING), Some(State::Failed));
}

/// Guards against a last attempt that waits for ever because the latest run of each upstream has failed.
#[test]
fn a_last_attempt_is_made_where_all_upstreams_have_failures() {
    for gang in [false, true] {
        let mut cluster = Cluster::new(2, Return::NewId);
        cluster.submit(FAILING, 2, 8, gang);
        cluster.run_for(ALL_ATTEMPTS_MS);
        assert_eq!(state(&cluster, FAILING), Some(State::Failed));
    }
}

/// Guards against lasting tasks that are not started again once they have failed on each upstream.
#[test]
fn lasting_tasks_that_fail_everywhere_are_restarted() {
    let mut cluster = Cluster::new(6, Return::NewId);
    let lasting = Step {
        lasting: true,
        spread: Some(1),
        ..step(3, 1)
    };
    cluster.submit_step(FAILING, lasting);
    let mut idle_ms = 0;
    for _ in 0..90_000 / POLL_MS {
        cluster.run_for(POLL_MS);
        idle_ms = match cluster.running(FAILING) {
            0 => idle_ms + POLL_MS,
            _ => 0,
        };
        assert!(idle_ms <= MAX_RESTART_MS, "at {} ms", cluster.now_ms);
    }
}

/// Guards against a task that waits beside idle upstreams on which it has failed, because another one on which it has
/// not is full.
#[test]
fn a_task_does_not_wait_for_an_upstream_that_stays_full() {
    let mut cluster = Cluster::new(3, Return::NewId);
    let lasting = Step {
        lasting: true,
        ..step(1, 8)
    };
    cluster.submit_step(OTHER, lasting);
    cluster.run_until_started(OTHER, 1);
    cluster.submit(FAILING, 1, 8, false);
    cluster.run_for(ALL_ATTEMPTS_MS);
    assert_eq!(state(&cluster, FAILING), Some(State::Failed));
}

/// Guards against upstreams that are taken out of service because of a job that fails wherever it runs.
#[test]
fn a_job_that_fails_everywhere_leaves_the_upstreams_in_service() {
    let mut cluster = Cluster::new(6, Return::NewId);
    cluster.submit(FAILING, 24, 1, false);
    for _ in 0..ALL_ATTEMPTS_MS / POLL_MS {
        if state(&cluster, FAILING) != Some(State::Open) {
            break;
        }
        cluster.run_for(POLL_MS);
    }
    cluster.submit(OTHER, 6, 8, false);
    cluster.run_for(1000);
    assert_eq!(cluster.running(OTHER), 6);
}

//! Tasks that take far longer than their estimate.

use {
    crate::cluster::{Cluster, LONG, LONG_WORK_MS, Return},
    work::{id, registry::State},
};

const TASK: id::Task = id::Task {
    job: LONG,
    occurrence: 0,
    step: 0,
    index: 0,
};

/// Time for the runs that are stopped before one is left at work.
const STOPPED_RUNS_MS: u64 = 30_000;

/// Longest time in which the task has no run beside idle upstreams.
const MAX_IDLE_MS: u64 = 3000;

const POLL_MS: u64 = 100;

/// Number of runs of the task so far.
fn runs(cluster: &Cluster) -> u32 {
    let progress = cluster.registry.task(&TASK);
    progress.map_or(0, |progress| progress.last_run)
}

/// Guards against a task that is stopped as stalled for ever, because it takes longer for a percent of its work than its
/// estimate allows, and against sound upstreams that get no work because of it.
#[test]
fn a_task_with_a_low_estimate_ends() {
    let mut cluster = Cluster::new(2, Return::NewId);
    cluster.submit(LONG, 1, 8, false);
    let mut idle_ms = 0;
    for _ in 0..(LONG_WORK_MS + STOPPED_RUNS_MS) / POLL_MS {
        cluster.run_for(POLL_MS);
        let is_open = cluster.registry.job(LONG).map(|job| job.state) == Some(State::Open);
        idle_ms = match is_open && cluster.running(LONG) == 0 {
            true => idle_ms + POLL_MS,
            false => 0,
        };
        assert!(idle_ms <= MAX_IDLE_MS, "idle for {idle_ms} ms");
    }
    let job = cluster.registry.job(LONG).expect("the job is known");
    assert_eq!(job.state, State::Completed, "{} runs", runs(&cluster));
}

/// Guards against work that is thrown away with each change of the leader, because the next leader does not know that a task
/// needs longer than its estimate.
#[test]
fn a_long_task_goes_on_under_the_next_leader() {
    let mut cluster = Cluster::new(2, Return::NewId);
    cluster.submit(LONG, 1, 8, false);
    cluster.run_for(60_000);
    let before = runs(&cluster);
    for _ in 0..3 {
        cluster.replace_leader();
        cluster.run_for(60_000);
    }
    assert_eq!(runs(&cluster), before);
}

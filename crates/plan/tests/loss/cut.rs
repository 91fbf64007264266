//! Upstreams that are cut off for longer than the leases of their runs.

use {
    crate::cluster::{Cluster, Return, WORK_MS},
    work::{id, registry::State},
};

const JOB: id::Job = id::Job(1);

/// Guards against an upstream that gets no work any more after its runs were voided: it had no run and no end, so it got
/// no hold, and without an answered hold it counted as unreachable until the leader changed.
#[test]
fn an_upstream_gets_work_again_after_a_cut_that_outlasts_its_lease() {
    let mut cluster = Cluster::new(1, Return::NewId);
    cluster.submit(JOB, 1, 8, false);
    cluster.run_for(500);
    cluster.set_cut(Some(JOB));
    cluster.run_for(9000);
    cluster.set_cut(None);
    cluster.run_for(6000);
    let job = cluster.registry.job(JOB).expect("the job is known");
    assert_eq!(job.state, State::Completed);
}

/// Guards against jobs that end as failed because their upstreams were cut off, which is not the fault of a task.
#[test]
fn a_task_whose_upstreams_are_cut_off_is_not_given_up() {
    let mut cluster = Cluster::new(6, Return::NewId);
    cluster.submit(JOB, 1, 8, false);
    for _ in 0..6 {
        cluster.run_for(1000);
        cluster.set_cut(Some(JOB));
        cluster.run_for(7000);
        cluster.set_cut(None);
    }
    cluster.run_for(5000);
    let job = cluster.registry.job(JOB).expect("the job is known");
    assert_eq!(job.state, State::Completed);
}

/// Guards against jobs that end as failed because each of their upstreams was cut off before the run was seen to make
/// progress: such a loss was counted as a crash that the task may have caused.
#[test]
fn a_task_whose_upstreams_are_cut_off_right_after_its_start_is_not_given_up() {
    let mut cluster = Cluster::new(8, Return::NewId);
    cluster.submit(JOB, 1, 8, false);
    for _ in 0..7 {
        cluster.run_until_started(JOB, 1);
        cluster.set_cut(Some(JOB));
    }
    cluster.set_cut(None);
    cluster.run_for(15_000);
    let job = cluster.registry.job(JOB).expect("the job is known");
    assert_eq!(job.state, State::Completed);
}

/// Guards against jobs that end as failed because their upstreams crashed after the runs had ended there, behind a cut. The
/// leader never saw the ends, and counted the runs as lost with their upstreams.
#[test]
fn a_task_that_ends_behind_a_cut_before_its_upstream_crashes_is_not_given_up() {
    for returns in [Return::NewId, Return::SameId] {
        let mut cluster = Cluster::new(8, returns);
        cluster.cut_timeout_ms = 500;
        cluster.restart_after_ms = 100;
        cluster.submit(JOB, 1, 8, false);
        for _ in 0..4 {
            cluster.run_until_started(JOB, 1);
            cluster.set_cut(Some(JOB));
            cluster.run_for(3000);
            assert_eq!(cluster.running(JOB), 0);
            cluster.crash_cut();
            cluster.run_for(500);
            cluster.set_cut(None);
        }
        cluster.run_for(15_000);
        let job = cluster.registry.job(JOB).expect("the job is known");
        assert_eq!(job.state, State::Completed);
        assert!(cluster.crashes.is_empty(), "{:?}", cluster.crashes);
    }
}

/// Guards against jobs that end as failed because their runs had ended behind a cut when the upstream crashed, and had not
/// been seen to make progress before: holds wait for longer than the runs were in touch.
#[test]
fn a_task_that_ends_behind_cuts_before_its_progress_is_known_is_not_given_up() {
    for returns in [Return::NewId, Return::SameId] {
        let mut cluster = Cluster::new(8, returns);
        cluster.cut_timeout_ms = 500;
        cluster.restart_after_ms = 100;
        cluster.delays_answers = true;
        cluster.submit(JOB, 1, 8, false);
        for _ in 0..6 {
            cluster.run_until_started(JOB, 1);
            cluster.run_for(300);
            cluster.set_cut(Some(JOB));
            cluster.run_for(WORK_MS + 500);
            assert_eq!(cluster.running(JOB), 0);
            cluster.crash_cut();
            cluster.run_for(100);
            cluster.set_cut(None);
        }
        cluster.run_for(15_000);
        let job = cluster.registry.job(JOB).expect("the job is known");
        assert_eq!(job.state, State::Completed);
        assert!(cluster.crashes.is_empty(), "{:?}", cluster.crashes);
    }
}

//! Upstreams with more ends than they list at a time.

use {
    crate::{
        cluster::{Cluster, Return, WORK_MS},
        node::MAX_LISTED_ENDS,
        work_load::step,
    },
    work::{id, registry::State},
};

const JOB: id::Job = id::Job(1);

/// Tasks that need nothing, so that one upstream runs them all.
const TASKS: u16 = 1200;

/// A cluster whose leader was replaced while the only upstream finished all tasks of the job.
fn cluster_with_many_ends() -> Cluster {
    let mut cluster = Cluster::new(1, Return::NewId);
    cluster.submit_step(JOB, step(TASKS, 0));
    cluster.run_until_started(JOB, usize::from(TASKS));
    cluster.set_cut(Some(JOB));
    cluster.run_for(WORK_MS);
    assert_eq!(cluster.unreleased_ends(), usize::from(TASKS));
    cluster.replace_leader();
    cluster.set_cut(None);
    cluster
}

/// Guards against tasks that run again though they are done: a new leader took the runs whose ends were not in the first
/// list for lost.
#[test]
fn tasks_whose_ends_are_listed_later_do_not_run_again() {
    assert!(usize::from(TASKS) > 2 * MAX_LISTED_ENDS);
    let mut cluster = cluster_with_many_ends();
    cluster.run_for(5000);
    let again = cluster.started_again.len();
    assert_eq!(again, 0, "{again} tasks were started again");
    let job = cluster.registry.job(JOB).expect("the job is known");
    assert_eq!(job.state, State::Completed);
}

/// Guards against ends that stay at an upstream which runs nothing any more.
#[test]
fn all_ends_of_an_idle_upstream_are_released() {
    let mut cluster = cluster_with_many_ends();
    cluster.cancel(JOB);
    cluster.run_for(5000);
    assert_eq!(cluster.unreleased_ends(), 0);
}

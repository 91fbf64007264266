//! Gangs of which some starts are lost with the leader that sent them.

use {
    crate::cluster::{Cluster, Return},
    work::{id, registry::State},
};

const JOB: id::Job = id::Job(1);

fn member(index: u16) -> id::Task {
    id::Task {
        job: JOB,
        occurrence: 0,
        step: 0,
        index,
    }
}

/// Guards against members of a gang that wait for another one in vain, with their accelerators idle, until the upstreams
/// give the gang up: the new leader only noted that the missing member was not there.
#[test]
fn a_gang_that_has_lost_a_start_begins_again_at_once() {
    let mut cluster = Cluster::new(4, Return::NewId);
    cluster.submit(JOB, 4, 8, true);
    cluster.run_for(500);
    let first_task = member(0);
    cluster.lose_start(first_task);
    cluster.replace_leader();
    cluster.run_for(1500);
    let progress = cluster.registry.progress(&first_task).unwrap();
    assert_eq!(progress.gang_run, 2);
    let live = progress.tasks.iter().flat_map(|task| &task.live);
    assert!(live.map(|run| run.number).eq([2, 2, 2, 2]));
}

/// Guards against a gang that is given up although no two upstreams have crashed under any of its members: the crashes
/// under all members were added up.
#[test]
fn a_gang_with_one_crash_under_each_member_is_not_given_up() {
    for returns in [Return::NewId, Return::SameId] {
        let mut cluster = Cluster::new(8, returns);
        cluster.submit(JOB, 6, 8, true);
        for index in 0..6 {
            cluster.run_until_started(JOB, 6);
            cluster.crash_under(member(index));
            cluster.run_for(1000);
        }
        cluster.run_for(15_000);
        let job = cluster.registry.job(JOB).expect("the job is known");
        assert_eq!(job.state, State::Completed);
    }
}

/// Guards against a gang that is started without end because the crashes under its members are no longer added up.
#[test]
fn a_gang_that_crashes_two_upstreams_under_a_member_is_given_up() {
    let mut cluster = Cluster::new(8, Return::NewId);
    cluster.submit(JOB, 6, 8, true);
    for index in [0, 1, 2, 0] {
        cluster.run_until_started(JOB, 6);
        cluster.crash_under(member(index));
        cluster.run_for(1000);
    }
    cluster.run_for(15_000);
    let job = cluster.registry.job(JOB).expect("the job is known");
    assert_eq!(job.state, State::Failed);
}

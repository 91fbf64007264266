//! Gangs of which some starts are lost with the leader that sent them.

use {
    crate::cluster::{Cluster, Return},
    work::id,
};

const JOB: id::Job = id::Job(1);

/// Guards against members of a gang that wait for another one in vain, with their accelerators idle, until the upstreams
/// give the gang up: the new leader only noted that the missing member was not there.
#[test]
fn a_gang_that_has_lost_a_start_begins_again_at_once() {
    let mut cluster = Cluster::new(4, Return::NewId);
    cluster.submit(JOB, 4, 8, true);
    cluster.run_for(500);
    let first_task = id::Task {
        job: JOB,
        occurrence: 0,
        step: 0,
        index: 0,
    };
    cluster.lose_start(first_task);
    cluster.replace_leader();
    cluster.run_for(1500);
    let progress = cluster.registry.progress(&first_task).unwrap();
    assert_eq!(progress.gang_run, 2);
    let live = progress.tasks.iter().flat_map(|task| &task.live);
    assert!(live.map(|run| run.number).eq([2, 2, 2, 2]));
}

//! Upstreams whose capacity changes while they run.

use {
    crate::cluster::{Cluster, Return},
    work::{id, registry::State},
};

fn state(cluster: &Cluster, job: u64) -> Option<State> {
    cluster.registry.job(id::Job(job)).map(|job| job.state)
}

/// Guards against a start that brings an upstream over a capacity that has shrunk, and against room that stays unused
/// once the capacity has grown again.
#[test]
fn a_changed_capacity_applies_to_the_next_start() {
    let mut cluster = Cluster::new(1, Return::NewId);
    cluster.submit(id::Job(1), 1, 4, false);
    cluster.run_for(500);
    cluster.set_accelerators(0, 6);
    cluster.submit(id::Job(2), 1, 4, false);
    cluster.run_for(1500);
    assert_eq!(cluster.overfull, []);
    cluster.set_accelerators(0, 2);
    cluster.run_for(5000);
    assert_eq!(state(&cluster, 1), Some(State::Completed), "it runs on");
    assert_eq!(state(&cluster, 2), Some(State::Open));
    cluster.set_accelerators(0, 8);
    cluster.run_for(4000);
    assert_eq!(state(&cluster, 2), Some(State::Completed));
    assert_eq!(cluster.overfull, []);
}

//! Placement of whole gangs on permitted workers.

mod common;

use {
    common::{Bench, account, shape, worker},
    gang::{Decision, Event},
    model::{
        job::{Class, State},
        shape::Adjacency,
    },
    std::collections::HashSet,
};

/// Guards against a gang that gets fewer places than it has tasks, or accelerators twice.
#[test]
fn places_all_tasks_on_distinct_adjacent_accelerators() {
    let mut bench = Bench::new([("a", account(&["north"]))]);
    bench.rack(3);
    let id = bench.submit("a", Class::Standard, shape(5, 4, Adjacency::Rack));
    let decisions = bench.decide();
    let [Decision::Place { job, members, .. }] = decisions.as_slice() else {
        panic!("{decisions:?}");
    };
    assert_eq!(*job, id);
    assert_eq!(members.len(), 5);
    let mut used = HashSet::new();
    for member in members {
        assert!(
            member
                .accelerators
                .windows(2)
                .all(|pair| pair[1] == pair[0] + 1)
        );
        for index in &member.accelerators {
            assert!(used.insert((member.worker.clone(), *index)));
        }
    }
}

/// Guards against a partial placement when a gang is larger than what is free.
#[test]
fn places_nothing_of_a_gang_that_does_not_fit() {
    let mut bench = Bench::new([("a", account(&["north"]))]);
    bench.rack(2);
    bench.submit("a", Class::Standard, shape(1, 5, Adjacency::Rack));
    bench.settle();
    let large = bench.submit("a", Class::Standard, shape(2, 8, Adjacency::Rack));
    bench.settle();
    assert_eq!(bench.state(large), State::Queued);
    assert!(
        bench.why(large).starts_with("capacity"),
        "{}",
        bench.why(large)
    );
}

/// Guards against a gang that spreads over racks or data centres against its adjacency.
#[test]
fn keeps_adjacency() {
    let mut bench = Bench::new([("a", account(&["north"]))]);
    bench.seen(worker("w0", "a", "r0"));
    bench.seen(worker("w1", "a", "r1"));
    bench.seen(worker("w2", "b", "r0"));
    let rack = bench.submit("a", Class::Standard, shape(2, 8, Adjacency::Rack));
    let centre = bench.submit("a", Class::Standard, shape(2, 8, Adjacency::DataCentre));
    bench.settle();
    assert_eq!(bench.state(rack), State::Queued);
    assert!(bench.why(rack).starts_with("shape"), "{}", bench.why(rack));
    assert_eq!(bench.state(centre), State::Running);
}

/// Guards against work in a place that the account may not use.
#[test]
fn uses_permitted_places_only() {
    let mut bench = Bench::new([("a", account(&["north/b"]))]);
    bench.seen(worker("w0", "a", "r0"));
    let id = bench.submit("a", Class::Standard, shape(1, 1, Adjacency::Rack));
    bench.settle();
    assert_eq!(bench.state(id), State::Queued);
    assert!(bench.why(id).starts_with("place"), "{}", bench.why(id));
    bench.seen(worker("w1", "b", "r0"));
    bench.settle();
    assert_eq!(bench.state(id), State::Running);
}

/// Guards against new gangs on workers that are silent, lost or drained.
#[test]
fn uses_workers_in_service_only() {
    for event in [
        Event::WorkerSilent {
            worker: "w0".into(),
        },
        Event::WorkerLost {
            worker: "w0".into(),
        },
        Event::WorkerDrained {
            worker: "w0".into(),
        },
    ] {
        let mut bench = Bench::new([("a", account(&["north"]))]);
        bench.rack(1);
        bench.observe(event);
        let id = bench.submit("a", Class::Standard, shape(1, 1, Adjacency::Rack));
        bench.settle();
        assert_eq!(bench.state(id), State::Queued);
        bench.observe(Event::WorkerReturned {
            worker: "w0".into(),
        });
        bench.rack(1);
        bench.settle();
        assert_eq!(bench.state(id), State::Running);
    }
}

/// Guards against accelerators given away twice while a placement is only proposed.
#[test]
fn holds_what_it_proposed_until_it_is_refused() {
    let mut bench = Bench::new([("a", account(&["north"]))]);
    bench.rack(1);
    let first = bench.submit("a", Class::Standard, shape(1, 8, Adjacency::Rack));
    assert_eq!(bench.decide().len(), 1);
    bench.submit("a", Class::Standard, shape(1, 8, Adjacency::Rack));
    assert!(bench.decide().is_empty());
    bench.observe(Event::ProposalRejected { job: first });
    assert_eq!(bench.decide().len(), 1);
}

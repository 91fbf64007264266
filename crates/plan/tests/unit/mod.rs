//! A unit of work: all tasks of a step.

use {
    plan::order::{Rank, Unit},
    work::{id, job::Step},
};

pub fn unit(step: &Step, priority: u8, rank: Rank) -> Unit<'_> {
    Unit {
        name: id::Task {
            job: id::Job(1),
            occurrence: 0,
            step: 0,
            index: 0,
        },
        step,
        tasks: (0..step.count).collect(),
        room: step.reserved(),
        service: "pool",
        account: None,
        priority,
        rank,
        start_by_ms: 0.0,
        since_ms: 0,
        last_chance: false,
        advised: false,
        failed_on: vec![],
    }
}

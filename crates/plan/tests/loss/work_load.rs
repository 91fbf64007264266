//! The configuration of a [`Cluster`](crate::cluster::Cluster), and its steps.

use {
    crate::cluster::WORK_MS,
    work::{
        config::{Config, Queue, Service},
        job::{Resources, Step},
    },
};

/// A step of tasks that need these accelerators each.
pub fn step(count: u16, accelerators: i64) -> Step {
    Step {
        count,
        need: Resources {
            accelerators,
            ..Resources::default()
        },
        estimate_ms: WORK_MS as u32,
        ..Step::default()
    }
}

pub fn config() -> Config {
    Config {
        version: 1,
        queues: vec![Queue {
            name: "queue".into(),
            service: "pool".into(),
            priority: 1,
            stretch: 3.0,
            objective_ms: 5000,
            attempts: 3,
            ..Queue::default()
        }],
        services: vec![Service {
            name: "pool".into(),
            ..Service::default()
        }],
        ..Config::default()
    }
}

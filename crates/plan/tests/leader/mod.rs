//! A leader with two upstreams: a sweep job fills `a`, `b` is empty, and an urgent job waits.

use work::{
    config::{Config, Queue, Service},
    id,
    job::{self, Definition, Resources},
    registry::{Command, Placement, Registry, Update},
    upstream::Upstream,
};

const SWEEP: id::Job = id::Job(1);
const URGENT: id::Job = id::Job(2);

fn upstream(name: &str) -> Box<Upstream> {
    Box::new(Upstream {
        id: name.into(),
        born_ms: 1,
        address: name.into(),
        data_centre: "dc".into(),
        service: "pool".into(),
        capacity: Resources {
            accelerators: 8,
            ..Resources::default()
        },
        labels: vec![],
        rack: String::new(),
        draining: false,
        leaving_ms: None,
    })
}

/// Submits a job of one task that fills an upstream.
pub fn submit(registry: &mut Registry, job: id::Job, queue: &str) {
    let step = job::Step {
        count: 1,
        need: Resources {
            accelerators: 8,
            ..Resources::default()
        },
        estimate_ms: 2000,
        gang: true,
        ..job::Step::default()
    };
    registry.apply(Command::Submit {
        at_ms: 0,
        job,
        account: None,
        queue: queue.into(),
        form: Box::new(Definition {
            steps: vec![step],
            ..Definition::default()
        }),
    });
}

/// A registry in which a sweep job fills upstream `a`, `b` is empty, and an urgent job waits.
pub fn registry() -> Registry {
    let mut registry = idle_registry();
    submit(&mut registry, SWEEP, "sweep");
    registry.apply(Command::Progress {
        at_ms: 0,
        steps: vec![Update::Assign(vec![Placement {
            task: sweep_task(),
            upstream: "a".into(),
            born_ms: 1,
        }])],
    });
    submit(&mut registry, URGENT, "urgent");
    registry
}

/// A registry with the empty upstreams `a` and `b`.
pub fn idle_registry() -> Registry {
    let queue = |name: &str, priority| Queue {
        name: name.into(),
        prefix: format!("/{name}/"),
        service: "pool".into(),
        priority,
        stretch: 2.0,
        objective_ms: 5000,
        attempts: 3,
        ..Queue::default()
    };
    let config = Config {
        version: 1,
        queues: vec![queue("urgent", 0), queue("sweep", 2)],
        services: vec![Service {
            name: "pool".into(),
            ..Service::default()
        }],
        ..Config::default()
    };
    let mut registry = Registry::default();
    registry.apply(Command::Configure {
        at_ms: 0,
        config: Box::new(config),
    });
    for name in ["a", "b"] {
        registry.apply(Command::Register {
            upstream: upstream(name),
        });
    }
    registry
}

/// The only task of the sweep job.
pub fn sweep_task() -> id::Task {
    id::Task {
        job: SWEEP,
        occurrence: 0,
        step: 0,
        index: 0,
    }
}

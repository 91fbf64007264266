//! What becomes of the jobs of a queue when the configuration renames, replaces or drops it, or gives its name to another
//! one too.

use {
    indexmap::IndexSet,
    work::{
        config::{Config, Queue, Service},
        id,
        job::{Definition, Step},
        registry::{Answer, Command, Registry},
    },
};

const FIRST: id::Job = id::Job(1);
const SECOND: id::Job = id::Job(2);

/// Applies a configuration with queues of these names, prefixes and services.
fn configure(registry: &mut Registry, version: u64, queues: &[(&str, &str, &str)]) {
    let queue = |(name, prefix, service): &(&str, &str, &str)| Queue {
        name: (*name).into(),
        host: "host".into(),
        prefix: (*prefix).into(),
        service: (*service).into(),
        timeout_ms: 1000,
        ..Queue::default()
    };
    let service = |name: &str| Service {
        name: name.into(),
        ..Service::default()
    };
    registry.apply(Command::Configure {
        at_ms: version,
        config: Box::new(Config {
            version,
            queues: queues.iter().map(queue).collect(),
            services: vec![service("a"), service("b")],
            ..Config::default()
        }),
    });
}

fn submit(registry: &mut Registry, job: id::Job, queue: &str) -> Answer {
    registry.apply(Command::Submit {
        at_ms: 10,
        job,
        account: None,
        queue: queue.into(),
        form: Box::new(Definition {
            steps: vec![Step {
                count: 1,
                ..Step::default()
            }],
            ..Definition::default()
        }),
    })
}

/// Name and service of the queue of a job.
fn queue_of(registry: &Registry, job: id::Job) -> Option<(&str, &str)> {
    let queue = registry.queue(&registry.job(job)?.queue)?;
    Some((queue.name.as_str(), queue.service.as_str()))
}

/// Guards against jobs that can no longer be seen or cancelled because their queue has another name now.
#[test]
fn jobs_stay_in_a_queue_that_is_renamed() {
    let mut registry = Registry::default();
    configure(&mut registry, 1, &[("old", "/x/", "a")]);
    submit(&mut registry, FIRST, "old");
    configure(&mut registry, 2, &[("new", "/x/", "b")]);
    assert_eq!(queue_of(&registry, FIRST), Some(("new", "b")));
    assert!(registry.queue("old").is_none() && registry.queue("new").is_none());
    assert_eq!(registry.unstarted_jobs("host/x/"), 1);
    assert_eq!(submit(&mut registry, FIRST, "new"), Answer::Accepted);
}

/// Guards against jobs that change places, and with them the service that runs them, when two queues swap their names.
#[test]
fn jobs_stay_in_their_queues_when_names_are_swapped() {
    let mut registry = Registry::default();
    configure(&mut registry, 1, &[("x", "/1/", "a"), ("y", "/2/", "b")]);
    submit(&mut registry, FIRST, "x");
    submit(&mut registry, SECOND, "y");
    configure(&mut registry, 2, &[("y", "/1/", "a"), ("x", "/2/", "b")]);
    assert_eq!(queue_of(&registry, FIRST), Some(("y", "a")));
    assert_eq!(queue_of(&registry, SECOND), Some(("x", "b")));
}

/// Guards against jobs of a dropped queue that run on the service of another one to which its name was given.
#[test]
fn jobs_of_a_dropped_queue_keep_its_service() {
    let mut registry = Registry::default();
    configure(&mut registry, 1, &[("x", "/1/", "a")]);
    submit(&mut registry, FIRST, "x");
    configure(&mut registry, 2, &[("x", "/2/", "b")]);
    assert_eq!(
        queue_of(&registry, FIRST).map(|(_, service)| service),
        Some("a")
    );
    configure(&mut registry, 3, &[("x", "/2/", "b"), ("z", "/1/", "a")]);
    assert_eq!(queue_of(&registry, FIRST), Some(("z", "a")));
}

/// Guards against a job that never runs because a command of an earlier build, which refers to queues by name, was on its
/// way while its queue was renamed.
#[test]
fn a_job_for_a_renamed_queue_moves_there_when_it_is_submitted_again() {
    let mut registry = Registry::default();
    configure(&mut registry, 1, &[("old", "/x/", "a")]);
    configure(&mut registry, 2, &[("new", "/x/", "a")]);
    submit(&mut registry, FIRST, "old");
    assert_eq!(queue_of(&registry, FIRST), None);
    assert_eq!(submit(&mut registry, FIRST, "new"), Answer::Accepted);
    assert_eq!(queue_of(&registry, FIRST), Some(("new", "a")));
}

/// Guards against jobs that run on the service of another queue because both have one name.
#[test]
fn queues_of_one_name_keep_their_jobs_apart() {
    let mut registry = Registry::default();
    configure(&mut registry, 1, &[("x", "/1/", "a")]);
    configure(&mut registry, 2, &[("x", "/1/", "a"), ("x", "/2/", "b")]);
    submit(&mut registry, FIRST, "host/1/");
    submit(&mut registry, SECOND, "host/2/");
    assert_eq!(queue_of(&registry, FIRST), Some(("x", "a")));
    assert_eq!(queue_of(&registry, SECOND), Some(("x", "b")));
    assert_eq!(registry.unstarted_jobs("host/1/"), 1);
    assert_eq!(registry.unstarted_jobs("host/2/"), 1);
}

/// Guards against a job that runs on the service of another queue because its own was dropped while it was on its way, and
/// the other one has host and prefix of the dropped queue as its name. Submitted again there, it runs there.
#[test]
fn a_job_for_a_dropped_queue_does_not_enter_the_queue_of_that_name() {
    let mut registry = Registry::default();
    configure(&mut registry, 1, &[("x", "/1/", "a")]);
    configure(&mut registry, 2, &[("host/1/", "/2/", "b")]);
    submit(&mut registry, FIRST, "host/1/");
    assert_eq!(queue_of(&registry, FIRST), None);
    assert_eq!(registry.unstarted_jobs("host/2/"), 0);
    assert_eq!(submit(&mut registry, FIRST, "host/2/"), Answer::Accepted);
    assert_eq!(queue_of(&registry, FIRST), Some(("host/1/", "b")));
}

/// Guards against jobs that run on the service of another queue because host and prefix of both make one text.
#[test]
fn different_hosts_and_prefixes_are_different_endpoints() {
    let endpoint = |host: &str, prefix: &str| {
        let queue = Queue {
            host: host.into(),
            prefix: prefix.into(),
            ..Queue::default()
        };
        queue.endpoint()
    };
    let parts = ["", "/", "1", "a", "a/", "/a", "1:", "/1:", "1:a/"];
    let mut texts = IndexSet::new();
    for host in parts {
        for prefix in parts {
            assert!(texts.insert(endpoint(host, prefix)), "{host:?} {prefix:?}");
        }
    }
}

/// Guards against a registry that is not the same after it was stored and read.
#[test]
fn queues_are_the_same_after_a_restart() {
    let mut registry = Registry::default();
    configure(&mut registry, 1, &[("x", "/1/", "a"), ("y", "/2/", "b")]);
    submit(&mut registry, FIRST, "x");
    submit(&mut registry, SECOND, "y");
    configure(&mut registry, 2, &[("x", "/2/", "b"), ("y", "/3/", "b")]);
    let restored = Registry::load(&registry.save().unwrap()).unwrap();
    for job in [FIRST, SECOND] {
        assert_eq!(queue_of(&restored, job), queue_of(&registry, job));
        assert!(queue_of(&restored, job).is_some());
    }
}

//! Ids of jobs and tasks, and the validation of configurations and job definitions.

use {
    proptest::prelude::*,
    work::{
        config::{self, Account, Config, Queue, Service},
        id,
        job::{Definition, Error, Repeat, Step},
    },
};

proptest! {
    /// Guards against a task id whose text parses as another task.
    #[test]
    fn ids_round_trip(job: u64, occurrence: u32, step: u16, index: u16) {
        let task = id::Task { job: id::Job(job), occurrence, step, index };
        prop_assert_eq!(task.to_string().parse(), Ok(task));
    }

    /// Guards against a panic on untrusted ids.
    #[test]
    fn any_text_is_parsed_or_rejected(text in ".{0,40}") {
        if let Ok(job) = text.parse::<id::Job>() {
            prop_assert_eq!(job.to_string(), text.clone());
        }
        drop(text.parse::<id::Task>());
    }
}

fn queue(name: &str, prefix: &str) -> Queue {
    Queue {
        name: name.into(),
        host: "host".into(),
        prefix: prefix.into(),
        service: "pool".into(),
        timeout_ms: 1,
        ..Queue::default()
    }
}

fn config(queues: Vec<Queue>) -> Config {
    Config {
        queues,
        services: vec![Service {
            name: "pool".into(),
            ..Service::default()
        }],
        ..Config::default()
    }
}

/// Guards against a contradictory configuration that takes effect.
#[test]
fn contradictions_are_rejected() {
    assert_eq!(
        config(vec![queue("a", "/a/"), queue("b", "/b/")]).check(),
        Ok(())
    );
    let same = config(vec![queue("a", "/a/"), queue("b", "/a/")]);
    assert!(matches!(
        same.check(),
        Err(config::Error::DuplicateRoute { .. })
    ));
    let unknown = Queue {
        service: "none".into(),
        ..queue("a", "/a/")
    };
    assert!(matches!(
        config(vec![unknown]).check(),
        Err(config::Error::UnknownService { .. })
    ));
    let endless = Queue {
        timeout_ms: 0,
        ..queue("a", "/a/")
    };
    assert!(matches!(
        config(vec![endless]).check(),
        Err(config::Error::ZeroTimeout(_))
    ));
    let account = |name: &str| Account {
        name: name.into(),
        keys: vec!["key".into()],
        guaranteed: 0,
    };
    let shared = Config {
        accounts: vec![account("one"), account("two")],
        ..config(vec![])
    };
    assert!(matches!(
        shared.check(),
        Err(config::Error::SharedKey { .. })
    ));
}

/// Guards against a request that reaches the wrong one of two queues with overlapping prefixes.
#[test]
fn the_longest_prefix_wins() {
    let config = config(vec![queue("short", "/a/"), queue("long", "/a/b/")]);
    let found = config.route("host", "/a/b/c").unwrap();
    assert_eq!((found.queue.name.as_str(), found.rest), ("long", "c"));
    assert_eq!(config.route("host", "/a/c").unwrap().queue.name, "short");
    assert!(config.route("elsewhere", "/a/c").is_none());
}

/// Guards against definitions that can never run: steps that depend on themselves, no tasks, repeats without an
/// interval.
#[test]
fn impossible_definitions_are_rejected() {
    let step = |count, after: &[u16]| Step {
        count,
        after: after.to_vec(),
        ..Step::default()
    };
    let definition = |steps| Definition {
        steps,
        ..Definition::default()
    };
    assert_eq!(
        definition(vec![step(1, &[]), step(1, &[0])]).check(),
        Ok(())
    );
    assert!(matches!(
        definition(vec![step(1, &[0])]).check(),
        Err(Error::After { .. })
    ));
    assert!(matches!(definition(vec![]).check(), Err(Error::Steps(0))));
    assert!(matches!(
        definition(vec![step(0, &[])]).check(),
        Err(Error::Tasks(_))
    ));
    let repeated = Definition {
        repeat: Some(Repeat {
            count: 2,
            first_ms: 5,
            interval_ms: 0,
        }),
        ..definition(vec![step(1, &[])])
    };
    assert_eq!(repeated.check(), Err(Error::Interval));
    let endless = Definition {
        repeat: Some(Repeat {
            count: u32::MAX,
            first_ms: 0,
            interval_ms: 1,
        }),
        ..repeated
    };
    assert_eq!(endless.check(), Err(Error::Occurrences(u32::MAX)));
}

//! When a task is given up because it crashes the upstreams that start it.

use work::{
    config::{Config, Queue, Service},
    id,
    job::{Definition, Resources, Step},
    registry::{Answer, Blame, Command, Placement, Registry, State, Update, Void},
    upstream::Upstream,
};

const JOB: id::Job = id::Job(1);

/// A registry with one upstream and a job of one step.
fn registry(count: u16, gang: bool) -> Registry {
    let mut registry = Registry::default();
    registry.apply(Command::Configure {
        at_ms: 0,
        config: Box::new(Config {
            version: 1,
            queues: vec![Queue {
                name: "queue".into(),
                service: "pool".into(),
                attempts: 3,
                ..Queue::default()
            }],
            services: vec![Service {
                name: "pool".into(),
                ..Service::default()
            }],
            ..Config::default()
        }),
    });
    registry.apply(Command::Register {
        upstream: Box::new(Upstream {
            id: "a".into(),
            born_ms: 1,
            address: "10.0.0.1:80".into(),
            data_centre: "dc".into(),
            service: "pool".into(),
            capacity: Resources::default(),
            labels: vec![],
            rack: String::new(),
            draining: false,
            leaving_ms: None,
        }),
    });
    registry.apply(Command::Submit {
        at_ms: 10,
        job: JOB,
        account: None,
        queue: "queue".into(),
        form: Box::new(Definition {
            steps: vec![Step {
                count,
                gang,
                ..Step::default()
            }],
            ..Definition::default()
        }),
    });
    registry
}

fn task(index: u16) -> id::Task {
    id::Task {
        job: JOB,
        occurrence: 0,
        step: 0,
        index,
    }
}

/// Starts all tasks and voids the run of one of them; returns whether the job is still open.
fn lose(registry: &mut Registry, count: u16, index: u16, blame: Blame) -> bool {
    let placements = (0..count).map(|index| Placement {
        task: task(index),
        upstream: "a".into(),
        born_ms: 1,
    });
    let assign = Update::Assign(placements.collect());
    let answer = registry.apply(Command::Progress {
        at_ms: 20,
        steps: vec![assign],
    });
    let Answer::Runs(runs) = answer else {
        panic!("{answer:?}");
    };
    let voids = runs.iter().map(|(task, run)| Update::Void {
        task: *task,
        run: run.expect("the task may start"),
        reason: Void::Replaced,
        checkpoint: String::new(),
        blame: match task.index == index {
            true => blame,
            false => Blame::None,
        },
    });
    registry.apply(Command::Progress {
        at_ms: 30,
        steps: voids.collect(),
    });
    registry.job(JOB).map(|job| job.state) == Some(State::Open)
}

/// Number of losses after which the job is given up, of those given.
fn losses_until_given_up(blames: &[Blame]) -> Option<usize> {
    let mut registry = registry(1, false);
    let open = |blame: &Blame| lose(&mut registry, 1, 0, *blame);
    Some(blames.iter().map(open).take_while(|open| *open).count() + 1)
        .filter(|losses| *losses <= blames.len())
}

/// Guards against a task that is given up before two upstreams have crashed under it, or that is started three times
/// after the third crash.
#[test]
fn a_task_is_given_up_between_the_second_crash_and_the_third_start_after_the_third() {
    use Blame::{Possible, Shared, Sole};
    for (blames, expected) in [
        (vec![Sole, Sole], Some(2)),
        (vec![Shared, Sole], Some(2)),
        (vec![Sole, Shared], Some(2)),
        (vec![Sole, Possible, Shared], Some(3)),
        (vec![Shared; 3], Some(3)),
        (vec![Possible; 5], Some(5)),
        (vec![Possible, Possible, Shared, Possible, Shared], Some(5)),
        (vec![Sole, Possible, Possible, Possible], None),
        (vec![Blame::None; 9], None),
    ] {
        assert_eq!(losses_until_given_up(&blames), expected, "{blames:?}");
    }
}

/// Guards against a gang that is given up because two of its upstreams crashed in one run, and against one that is
/// started without end because another member is lost each time.
#[test]
fn a_gang_counts_the_losses_of_a_run_once() {
    let mut registry = registry(3, true);
    assert!(lose(&mut registry, 3, 0, Blame::Sole));
    assert!(lose(&mut registry, 3, 1, Blame::Sole));
    assert!(!lose(&mut registry, 3, 2, Blame::Sole));
}

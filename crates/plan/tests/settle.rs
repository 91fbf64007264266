//! What a new leader may stop before it knows all upstreams.

use {
    plan::engine::{Effect, Engine, Event, Held, Running, Settings},
    std::time::{Duration, Instant},
    work::{
        book::{Book, Command, Placement, Step},
        config::{Config, Queue, Service},
        id,
        job::{self, Form, Need},
        upstream::Upstream,
    },
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
        capacity: Need {
            accelerators: 8,
            ..Need::default()
        },
        labels: vec![],
        rack: String::new(),
        draining: false,
    })
}

fn submit(book: &mut Book, job: id::Job, queue: &str) {
    let step = job::Step {
        count: 1,
        need: Need {
            accelerators: 8,
            ..Need::default()
        },
        estimate_ms: 2000,
        gang: true,
        ..job::Step::default()
    };
    book.apply(Command::Submit {
        at_ms: 0,
        job,
        account: None,
        queue: queue.into(),
        form: Box::new(Form {
            steps: vec![step],
            ..Form::default()
        }),
    });
}

/// A sweep fills upstream `a`, `b` is empty, and an urgent job waits.
fn book() -> Book {
    let queue = |name: &str, priority| Queue {
        name: name.into(),
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
    let mut book = Book::default();
    book.apply(Command::Configure {
        at_ms: 0,
        config: Box::new(config),
    });
    for name in ["a", "b"] {
        book.apply(Command::Register {
            upstream: upstream(name),
        });
    }
    submit(&mut book, SWEEP, "sweep");
    let task = id::Task {
        job: SWEEP,
        occurrence: 0,
        step: 0,
        index: 0,
    };
    book.apply(Command::Progress {
        at_ms: 0,
        steps: vec![Step::Assign(vec![Placement {
            task,
            upstream: "a".into(),
            born_ms: 1,
        }])],
    });
    submit(&mut book, URGENT, "urgent");
    book
}

/// The answer to the first hold of an upstream.
fn answer(effects: &[Effect], name: &str, running: Vec<Running>) -> Event {
    let call = effects.iter().find_map(|effect| match effect {
        Effect::Hold { call, target, .. } if target.upstream == name.into() => Some(*call),
        _ => None,
    });
    let held = Held {
        born_ms: Some(1),
        clock_ms: Some(1000),
        running,
        ended: vec![],
    };
    Event::Held {
        call: call.expect("a hold"),
        answer: Ok(held),
    }
}

fn sweep_run() -> Running {
    Running {
        task: id::Task {
            job: SWEEP,
            occurrence: 0,
            step: 0,
            index: 0,
        },
        run: 1,
        checkpoint: String::new(),
        percent: 10,
    }
}

fn stops(effects: &[Effect]) -> usize {
    let stops = effects.iter();
    stops
        .filter(|effect| matches!(effect, Effect::Stop { .. }))
        .count()
}

/// Guards against a new leader that stops work on the first upstreams that answer, while others that have not
/// answered yet are empty: one that took over had stopped 33 runs when 32 of 48 upstreams had answered, 10 ms before
/// the others did.
#[test]
fn a_new_leader_stops_nothing_before_all_upstreams_have_answered() {
    let book = book();
    let start = Instant::now();
    let mut engine = Engine::new(Settings::default(), start);
    let holds = engine.step([Event::Tick], &book, start, 1000);
    let at = |ms| start + Duration::from_millis(ms);
    let first = answer(&holds, "a", vec![sweep_run()]);
    assert_eq!(stops(&engine.step([first], &book, at(30), 1030)), 0);
    let second = answer(&holds, "b", vec![]);
    let effects = engine.step([second], &book, at(60), 1060);
    assert_eq!(stops(&effects), 0);
    let is_for_b = |placement: &Placement| placement.upstream == "b".into();
    let assigned = effects.iter().any(|effect| match effect {
        Effect::Propose { steps, .. } => steps.iter().any(
            |step| matches!(step, Step::Assign(placements) if placements.iter().any(is_for_b)),
        ),
        _ => false,
    });
    assert!(assigned, "{effects:?}");
}

/// Guards against urgent work that waits for an upstream which never answers.
#[test]
fn a_silent_upstream_holds_nothing_up_for_long() {
    let book = book();
    let start = Instant::now();
    let mut engine = Engine::new(Settings::default(), start);
    let holds = engine.step([Event::Tick], &book, start, 1000);
    let at = |ms| start + Duration::from_millis(ms);
    let first = answer(&holds, "a", vec![sweep_run()]);
    let mut stopped = stops(&engine.step([first], &book, at(30), 1030));
    for ms in (100..=700).step_by(50) {
        stopped += stops(&engine.step([Event::Tick], &book, at(ms), 1000 + ms));
    }
    assert_eq!(stopped, 1);
}

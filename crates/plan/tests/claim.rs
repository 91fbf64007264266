//! Urgent gangs on a fleet whose fast upstreams run work that has time: `u0`, `u2`, `u4` and `u6` are fast and run a sweep
//! task each, the others are slow and empty. In other tests all of them run tasks that last.

mod listing;

use {
    listing::answer,
    plan::engine::{Effect, Engine, Event, Running, Settings},
    std::time::{Duration, Instant},
    work::{
        config::{Account, Config, Queue, Service},
        id,
        job::{self, Definition, Resources},
        registry::{Command, Placement, Registry, Update},
        upstream::{Speed, Upstream},
    },
};

const SWEEP: id::Job = id::Job(1);
const URGENT: id::Job = id::Job(2);
const ACCOUNT: &str = "account";
const OTHER_ACCOUNT: &str = "other account";
const UPSTREAMS: usize = 8;

fn resources() -> Resources {
    Resources {
        accelerators: 8,
        ..Resources::default()
    }
}

fn name(number: usize) -> String {
    format!("u{number}")
}

fn submit(registry: &mut Registry, job: id::Job, account: &str, queue: &str, step: job::Step) {
    registry.apply(Command::Submit {
        at_ms: 1000,
        job,
        account: Some(account.into()),
        queue: queue.into(),
        form: Box::new(Definition {
            steps: vec![step],
            ..Definition::default()
        }),
    });
}

fn sweep_task(index: usize) -> id::Task {
    id::Task {
        job: SWEEP,
        occurrence: 0,
        step: 0,
        index: index as u16,
    }
}

/// Work of a low priority.
struct Sweep {
    account: &'static str,
    step: job::Step,
    /// Upstreams of its tasks.
    hosts: Vec<usize>,
}

impl Sweep {
    /// Tasks that take 20 s, on the fast upstreams.
    fn ending() -> Sweep {
        Sweep {
            account: ACCOUNT,
            step: job::Step {
                count: 4,
                need: resources(),
                estimate_ms: 20_000,
                checkpoints: true,
                ..job::Step::default()
            },
            hosts: (0..UPSTREAMS).step_by(2).collect(),
        }
    }

    /// Tasks of another account that last, on all upstreams; so many of them may be unavailable, any number if none is given.
    fn lasting(spare: u16) -> Sweep {
        Sweep {
            account: OTHER_ACCOUNT,
            step: job::Step {
                count: UPSTREAMS as u16,
                need: resources(),
                lasting: true,
                spare,
                ..job::Step::default()
            },
            hosts: (0..UPSTREAMS).collect(),
        }
    }

    fn percent(&self) -> u8 {
        if self.step.lasting { 100 } else { 10 }
    }
}

/// The registry, with a number of accelerators that are guaranteed to the account.
fn registry(guaranteed: i64, sweep: &Sweep) -> Registry {
    let queue = |name: &str, priority| Queue {
        name: name.into(),
        prefix: format!("/{name}/"),
        service: "pool".into(),
        priority,
        stretch: 1.5,
        objective_ms: 400,
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
        accounts: vec![Account {
            name: ACCOUNT.into(),
            keys: Vec::new(),
            guaranteed,
        }]
        .into_iter()
        .chain([Account {
            name: OTHER_ACCOUNT.into(),
            keys: Vec::new(),
            guaranteed: 0,
        }])
        .collect(),
        ..Config::default()
    };
    let mut registry = Registry::default();
    registry.apply(Command::Configure {
        at_ms: 1000,
        config: Box::new(config),
    });
    for number in 0..UPSTREAMS {
        let upstream = Upstream {
            id: name(number).as_str().into(),
            born_ms: 1,
            address: name(number),
            data_centre: "dc".into(),
            service: "pool".into(),
            capacity: resources(),
            labels: vec![],
            rack: "r".into(),
            draining: false,
            leaving_ms: None,
        };
        registry.apply(Command::Register {
            upstream: Box::new(upstream),
        });
    }
    submit(
        &mut registry,
        SWEEP,
        sweep.account,
        "sweep",
        sweep.step.clone(),
    );
    let placement = |(index, host): (usize, &usize)| Placement {
        task: sweep_task(index),
        upstream: name(*host).as_str().into(),
        born_ms: 1,
    };
    registry.apply(Command::Progress {
        at_ms: 1000,
        steps: vec![Update::Assign(
            sweep.hosts.iter().enumerate().map(placement).collect(),
        )],
    });
    let urgent = job::Step {
        count: 2,
        need: resources(),
        estimate_ms: 2000,
        gang: true,
        same_rack: true,
        ..job::Step::default()
    };
    submit(&mut registry, URGENT, ACCOUNT, "urgent", urgent);
    registry
}

/// Plays a new leader, some time after the gang was submitted, until it was assigned or other work stopped. Returns the
/// upstreams of the gang and those on which work was stopped.
fn decide(
    guaranteed: i64,
    sweep: &Sweep,
    knows_speeds: bool,
    waited_ms: u64,
) -> (Vec<String>, Vec<String>) {
    let registry = &registry(guaranteed, sweep);
    let start = Instant::now();
    let mut engine = Engine::new(Settings::default(), start);
    if knows_speeds {
        let speed = |number: usize| Speed {
            upstream: name(number).as_str().into(),
            born_ms: 1,
            level: if is_fast(&name(number)) { 47 } else { -51 },
            error: 5,
        };
        let speeds: Vec<Speed> = (0..UPSTREAMS).map(speed).collect();
        engine.inherit_speeds(&speeds, start);
    }
    let effects = engine.step([Event::Tick], registry, start, 1000 + waited_ms);
    let answers = (0..UPSTREAMS).map(|number| {
        let index = sweep.hosts.iter().position(|host| *host == number);
        let running = index.map(|index| Running {
            task: sweep_task(index),
            run: 1,
            checkpoint: String::new(),
            percent: sweep.percent(),
        });
        let running = running.into_iter().collect();
        answer(&effects, &name(number), running, vec![], 5000)
    });
    let mut answers = Some(answers.collect::<Vec<Event>>());
    let (mut gang, mut stopped) = (Vec::new(), Vec::new());
    for ms in (20..1000).step_by(20) {
        let now = start + Duration::from_millis(ms);
        let events = answers.take().unwrap_or_default();
        for effect in engine.step(events, registry, now, 1000 + waited_ms + ms) {
            match effect {
                Effect::Stop { target, .. } => stopped.push(target.upstream.as_str().to_owned()),
                Effect::Propose { updates, .. } => {
                    for update in updates {
                        if let Update::Assign(placements) = update {
                            let of_gang = placements.iter();
                            let of_gang = of_gang.filter(|placement| placement.task.job == URGENT);
                            gang.extend(of_gang.map(|placement| placement.upstream.to_string()));
                        }
                    }
                }
                _ => {}
            }
        }
        if !gang.is_empty() || !stopped.is_empty() {
            break;
        }
    }
    (gang, stopped)
}

fn is_fast(name: &str) -> bool {
    ["u0", "u2", "u4", "u6"].contains(&name)
}

/// Guards against an urgent gang that starts late on slow upstreams, while work that has time and loses little is on fast
/// ones.
#[test]
fn an_urgent_gang_displaces_other_work_rather_than_be_late() {
    let (gang, stopped) = decide(0, &Sweep::ending(), true, 0);
    assert_eq!(gang, Vec::<String>::new());
    assert_eq!(stopped.len(), 2, "{stopped:?}");
    assert!(stopped.iter().all(|name| is_fast(name)), "{stopped:?}");
}

/// Guards against a change for fleets of like speeds: the gang takes what is free.
#[test]
fn in_a_fleet_of_like_speeds_it_takes_free_room() {
    let (gang, stopped) = decide(0, &Sweep::ending(), false, 0);
    assert_eq!(gang.len(), 2, "{gang:?}");
    assert_eq!(stopped, Vec::<String>::new());
}

/// Guards against a guarantee that is missed because the gang waits for a fast place: only early in the reclaim time does it
/// wait for one.
#[test]
fn a_guaranteed_gang_takes_slow_places_rather_than_miss_its_guarantee() {
    let sweep = Sweep::ending();
    let (_, stopped) = decide(16, &sweep, true, 0);
    assert_eq!(stopped.len(), 2, "{stopped:?}");
    // Half of the reclaim time; the gang would still be in time on fast upstreams.
    let (gang, stopped) = decide(16, &sweep, true, 1200);
    assert_eq!(gang.len(), 2, "{gang:?}");
    assert_eq!(stopped, Vec::<String>::new());
}

/// Guards against a guarantee that is never met because tasks that last hold all accelerators.
#[test]
fn a_guaranteed_gang_displaces_tasks_that_last() {
    let (_, stopped) = decide(16, &Sweep::lasting(0), false, 1200);
    assert_eq!(stopped.len(), 2, "{stopped:?}");
    let (_, stopped) = decide(0, &Sweep::lasting(0), false, 1200);
    assert_eq!(stopped, Vec::<String>::new(), "without a guarantee");
}

/// Guards against a step that loses more of its tasks than may be unavailable.
#[test]
fn no_more_tasks_that_last_are_displaced_than_their_step_allows() {
    let (_, stopped) = decide(16, &Sweep::lasting(1), false, 1200);
    assert_eq!(stopped, Vec::<String>::new());
    let (_, stopped) = decide(16, &Sweep::lasting(2), false, 1200);
    assert_eq!(stopped.len(), 2, "{stopped:?}");
}

//! The replicated book: what it accepts, how runs begin and end, and what survives a snapshot.

use work::{
    config::{Config, Queue, Service},
    id,
    job::{Definition, Resources},
    registry::{Answer, Command, Placement, Registry, State, Update, Void},
    upstream::{End, Outcome, Upstream},
};

const JOB: id::Job = id::Job(0x5c0e_7a21_d94b_36f8);

fn config(version: u64) -> Command {
    let queue = Queue {
        name: "queue".into(),
        host: "host".into(),
        prefix: "/jobs/".into(),
        service: "pool".into(),
        timeout_ms: 1000,
        attempts: 2,
        ..Queue::default()
    };
    Command::Configure {
        at_ms: 0,
        config: Box::new(Config {
            version,
            source: format!("version {version}").into_bytes(),
            queues: vec![queue],
            services: vec![Service {
                name: "pool".into(),
                ..Service::default()
            }],
            ..Config::default()
        }),
    }
}

fn upstream(id: &str, born_ms: u64) -> Command {
    Command::Register {
        upstream: Box::new(Upstream {
            id: id.into(),
            born_ms,
            address: "10.0.0.1:80".into(),
            data_centre: "dc".into(),
            service: "pool".into(),
            capacity: Resources::default(),
            labels: vec![],
            rack: String::new(),
            draining: false,
            leaving_ms: None,
        }),
    }
}

fn step(count: u16, gang: bool, after: &[u16]) -> work::job::Step {
    work::job::Step {
        count,
        gang,
        after: after.to_vec(),
        ..work::job::Step::default()
    }
}

/// A book with two upstreams and one job of these steps.
fn book(steps: Vec<work::job::Step>) -> Registry {
    let mut book = Registry::default();
    book.apply(config(1));
    book.apply(upstream("a", 1));
    book.apply(upstream("b", 1));
    submit(&mut book, steps);
    book
}

fn submit(book: &mut Registry, steps: Vec<work::job::Step>) -> Answer {
    book.apply(Command::Submit {
        at_ms: 10,
        job: JOB,
        account: None,
        queue: "queue".into(),
        form: Box::new(Definition {
            steps,
            ..Definition::default()
        }),
    })
}

fn task(step: u16, index: u16) -> id::Task {
    id::Task {
        job: JOB,
        occurrence: 0,
        step,
        index,
    }
}

fn place(task: id::Task, upstream: &str) -> Placement {
    Placement {
        task,
        upstream: upstream.into(),
        born_ms: 1,
    }
}

fn progress(book: &mut Registry, updates: Vec<Update>) -> Vec<Option<u32>> {
    match book.apply(Command::Progress {
        at_ms: 20,
        steps: updates,
    }) {
        Answer::Runs(runs) => runs.into_iter().map(|(_, run)| run).collect(),
        other => panic!("{other:?}"),
    }
}

fn assign(book: &mut Registry, placements: Vec<Placement>) -> Vec<Option<u32>> {
    progress(book, vec![Update::Assign(placements)])
}

fn end(book: &mut Registry, upstream: &str, number: u64, task: id::Task, run: u32, how: Outcome) {
    let end = End {
        number,
        task,
        run,
        how,
        checkpoint: String::new(),
    };
    let ended = Update::Ended {
        upstream: upstream.into(),
        born_ms: 1,
        ends: vec![end],
    };
    progress(book, vec![ended]);
}

fn state(book: &Registry) -> State {
    book.job(JOB).unwrap().state
}

/// Guards against a second job under an id that is sent again, and against one caller taking over another's id.
#[test]
fn an_id_names_one_job() {
    let mut book = book(vec![step(1, false, &[])]);
    assert_eq!(
        submit(&mut book, vec![step(5, false, &[])]),
        Answer::Accepted
    );
    assert_eq!(book.job(JOB).unwrap().form.steps[0].count, 1);
    let other = Command::Submit {
        at_ms: 10,
        job: JOB,
        account: Some("other".into()),
        queue: "queue".into(),
        form: Box::default(),
    };
    assert_eq!(book.apply(other), Answer::Taken);
}

/// Guards against a configuration that goes back, or is replaced by another one of the same version.
#[test]
fn only_a_higher_version_takes_effect() {
    let mut book = Registry::default();
    for version in [5, 3] {
        book.apply(config(version));
        assert_eq!(book.config().unwrap().version, 5);
    }
    let Command::Configure { mut config, at_ms } = config(5) else {
        unreachable!()
    };
    config.source = b"another".to_vec();
    book.apply(Command::Configure { config, at_ms });
    assert_eq!(book.config().unwrap().source, b"version 5");
}

/// Guards against a task that is started while a run of it may still be running, or after it is done.
#[test]
fn a_task_has_one_run_at_a_time() {
    let mut book = book(vec![step(1, false, &[]), step(1, false, &[0])]);
    assert_eq!(assign(&mut book, vec![place(task(0, 0), "a")]), [Some(1)]);
    assert_eq!(assign(&mut book, vec![place(task(0, 0), "b")]), [None]);
    end(&mut book, "a", 1, task(0, 0), 1, Outcome::Stopped);
    assert_eq!(assign(&mut book, vec![place(task(0, 0), "b")]), [Some(2)]);
    end(&mut book, "b", 1, task(0, 0), 2, Outcome::Done);
    assert_eq!(assign(&mut book, vec![place(task(0, 0), "b")]), [None]);
}

/// Guards against a step that starts before those that it waits for are done.
#[test]
fn a_step_waits_for_earlier_ones() {
    let mut book = book(vec![step(2, false, &[]), step(1, false, &[0])]);
    assert_eq!(assign(&mut book, vec![place(task(1, 0), "a")]), [None]);
    assign(&mut book, vec![place(task(0, 0), "a")]);
    assign(&mut book, vec![place(task(0, 1), "a")]);
    end(&mut book, "a", 1, task(0, 0), 1, Outcome::Done);
    assert_eq!(assign(&mut book, vec![place(task(1, 0), "a")]), [None]);
    end(&mut book, "a", 2, task(0, 1), 1, Outcome::Done);
    assert_eq!(assign(&mut book, vec![place(task(1, 0), "a")]), [Some(1)]);
}

/// Guards against a gang of which only a part is started, and members that carry different run numbers.
#[test]
fn a_gang_starts_as_a_whole_with_one_number() {
    let mut book = book(vec![step(2, true, &[])]);
    assert_eq!(assign(&mut book, vec![place(task(0, 0), "a")]), [None]);
    let both = || vec![place(task(0, 0), "a"), place(task(0, 1), "b")];
    assert_eq!(assign(&mut book, both()), [Some(1), Some(1)]);
    end(&mut book, "a", 1, task(0, 0), 1, Outcome::Failed);
    assert_eq!(assign(&mut book, both()), [None, None]);
    end(&mut book, "b", 1, task(0, 1), 1, Outcome::Broken);
    assert_eq!(assign(&mut book, both()), [Some(2), Some(2)]);
    end(&mut book, "b", 2, task(0, 1), 2, Outcome::Done);
    assert_eq!(state(&book), State::Completed);
}

/// Guards against a job that fails too early or never: each failed run of a gang counts once.
#[test]
fn a_job_fails_after_its_attempts() {
    let mut book = book(vec![step(2, true, &[])]);
    for run in 1..=2 {
        assert_eq!(state(&book), State::Open);
        assign(
            &mut book,
            vec![place(task(0, 0), "a"), place(task(0, 1), "b")],
        );
        let number = u64::from(run);
        end(&mut book, "a", number, task(0, 0), run, Outcome::Failed);
        end(&mut book, "b", number, task(0, 1), run, Outcome::Failed);
    }
    assert_eq!(state(&book), State::Failed);
}

/// Guards against ends counted twice, or those of an earlier life taken for the present one's.
#[test]
fn an_end_counts_once_and_for_its_life() {
    let mut book = book(vec![step(1, false, &[])]);
    assign(&mut book, vec![place(task(0, 0), "a")]);
    end(&mut book, "a", 1, task(0, 0), 1, Outcome::Failed);
    end(&mut book, "a", 1, task(0, 0), 1, Outcome::Failed);
    assert_eq!(book.task(&task(0, 0)).unwrap().failures, 1);
    book.apply(upstream("a", 2));
    assert_eq!(book.last_end(&"a".into()), 0);
    assert_eq!(assign(&mut book, vec![place(task(0, 0), "a")]), [None]);
}

/// Guards against work that is done twice: a start meant for a life that had just crashed was carried out by the next
/// one under the same id, which listed it as done; the end was noted and not counted.
#[test]
fn an_end_counts_if_a_later_life_carried_the_run_out() {
    let mut book = book(vec![step(1, false, &[])]);
    assign(&mut book, vec![place(task(0, 0), "a")]);
    book.apply(upstream("a", 2));
    let ends = vec![End {
        number: 1,
        task: task(0, 0),
        run: 1,
        how: Outcome::Done,
        checkpoint: String::new(),
    }];
    let ended = Update::Ended {
        upstream: "a".into(),
        born_ms: 2,
        ends,
    };
    progress(&mut book, vec![ended]);
    assert!(book.task(&task(0, 0)).unwrap().done);
    assert_eq!(state(&book), State::Completed);
    assert_eq!(book.allocations_on(&"a".into()).count(), 0);
}

/// Guards against room that is charged for ever, or freed while a run may still be running.
#[test]
fn room_is_charged_until_the_run_is_over() {
    let mut book = book(vec![step(1, false, &[])]);
    assign(&mut book, vec![place(task(0, 0), "a")]);
    assert_eq!(book.allocations_on(&"a".into()).count(), 1);
    book.apply(Command::Cancel {
        at_ms: 30,
        job: JOB,
    });
    assert_eq!(state(&book), State::Cancelled);
    assert_eq!(book.allocations_on(&"a".into()).count(), 1);
    let void = Update::Void {
        task: task(0, 0),
        run: 1,
        reason: Void::Lapsed,
        checkpoint: "3".into(),
    };
    progress(&mut book, vec![void]);
    assert_eq!(book.allocations_on(&"a".into()).count(), 0);
    assert_eq!(book.task(&task(0, 0)).unwrap().checkpoint, "3");
}

/// Guards against work that stays bound to an upstream that has left, and against an old farewell.
#[test]
fn an_upstream_that_leaves_frees_its_runs() {
    let mut book = book(vec![step(1, false, &[])]);
    assign(&mut book, vec![place(task(0, 0), "a")]);
    let leave = |born_ms| Command::Leave {
        upstream: "a".into(),
        born_ms,
    };
    book.apply(leave(7));
    assert!(book.upstream(&"a".into()).is_some());
    book.apply(leave(1));
    assert!(book.upstream(&"a".into()).is_none());
    assert_eq!(assign(&mut book, vec![place(task(0, 0), "b")]), [Some(2)]);
}

/// Guards against a snapshot that loses jobs, runs or the counts that follow from them.
#[test]
fn a_snapshot_holds_everything() {
    let mut book = book(vec![step(2, false, &[])]);
    assign(&mut book, vec![place(task(0, 0), "a")]);
    let loaded = Registry::load(&book.save().unwrap()).unwrap();
    assert_eq!(loaded.allocations_on(&"a".into()).count(), 1);
    assert_eq!(loaded.open_jobs().count(), 1);
    assert_eq!(loaded.save().unwrap(), book.save().unwrap());
    assert!(Registry::load(&[1, 2, 3]).is_err());
}

/// Guards against jobs that are shown for too short or kept for ever.
#[test]
fn ended_jobs_are_forgotten_after_their_time() {
    let mut book = book(vec![step(1, false, &[])]);
    book.apply(Command::Cancel {
        at_ms: 100,
        job: JOB,
    });
    progress(&mut book, vec![Update::Expire { before_ms: 100 }]);
    assert!(book.job(JOB).is_some());
    progress(&mut book, vec![Update::Expire { before_ms: 101 }]);
    assert!(book.job(JOB).is_none());
}

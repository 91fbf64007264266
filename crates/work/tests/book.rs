//! Commands of the registry, the start and end of runs, and snapshots.

use work::{
    config::{Config, Queue, Service},
    id,
    job::{Definition, Resources},
    registry::{Answer, Blame, Command, Placement, Registry, State, Update, Void},
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

/// A registry with two upstreams and one job with these steps.
fn registry(steps: Vec<work::job::Step>) -> Registry {
    let mut registry = Registry::default();
    registry.apply(config(1));
    registry.apply(upstream("a", 1));
    registry.apply(upstream("b", 1));
    submit(&mut registry, steps);
    registry
}

fn submit(registry: &mut Registry, steps: Vec<work::job::Step>) -> Answer {
    registry.apply(Command::Submit {
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

fn progress(registry: &mut Registry, updates: Vec<Update>) -> Vec<Option<u32>> {
    match registry.apply(Command::Progress {
        at_ms: 20,
        steps: updates,
    }) {
        Answer::Runs(runs) => runs.into_iter().map(|(_, run)| run).collect(),
        other => panic!("{other:?}"),
    }
}

fn assign(registry: &mut Registry, placements: Vec<Placement>) -> Vec<Option<u32>> {
    progress(registry, vec![Update::Assign(placements)])
}

fn end(
    registry: &mut Registry,
    upstream: &str,
    number: u64,
    task: id::Task,
    run: u32,
    how: Outcome,
) {
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
    progress(registry, vec![ended]);
}

fn state(registry: &Registry) -> State {
    registry.job(JOB).unwrap().state
}

/// Guards against a second job when a submission is repeated, and against a caller that takes over another's job id.
#[test]
fn an_id_names_one_job() {
    let mut registry = registry(vec![step(1, false, &[])]);
    assert_eq!(
        submit(&mut registry, vec![step(5, false, &[])]),
        Answer::Accepted
    );
    assert_eq!(registry.job(JOB).unwrap().form.steps[0].count, 1);
    let other = Command::Submit {
        at_ms: 10,
        job: JOB,
        account: Some("other".into()),
        queue: "queue".into(),
        form: Box::default(),
    };
    assert_eq!(registry.apply(other), Answer::Taken);
}

/// Guards against a configuration that is replaced by one of an earlier or the same version.
#[test]
fn only_a_higher_version_takes_effect() {
    let mut registry = Registry::default();
    for version in [5, 3] {
        registry.apply(config(version));
        assert_eq!(registry.config().unwrap().version, 5);
    }
    let Command::Configure { mut config, at_ms } = config(5) else {
        unreachable!()
    };
    config.source = b"another".to_vec();
    registry.apply(Command::Configure { config, at_ms });
    assert_eq!(registry.config().unwrap().source, b"version 5");
}

/// Guards against a task that is assigned while a run of it may still be running, or after it is done.
#[test]
fn a_task_has_one_run_at_a_time() {
    let mut registry = registry(vec![step(1, false, &[]), step(1, false, &[0])]);
    assert_eq!(
        assign(&mut registry, vec![place(task(0, 0), "a")]),
        [Some(1)]
    );
    assert_eq!(assign(&mut registry, vec![place(task(0, 0), "b")]), [None]);
    end(&mut registry, "a", 1, task(0, 0), 1, Outcome::Stopped);
    assert_eq!(
        assign(&mut registry, vec![place(task(0, 0), "b")]),
        [Some(2)]
    );
    end(&mut registry, "b", 1, task(0, 0), 2, Outcome::Done);
    assert_eq!(assign(&mut registry, vec![place(task(0, 0), "b")]), [None]);
}

/// Guards against a step that starts before the steps that it depends on are done.
#[test]
fn a_step_waits_for_earlier_ones() {
    let mut registry = registry(vec![step(2, false, &[]), step(1, false, &[0])]);
    assert_eq!(assign(&mut registry, vec![place(task(1, 0), "a")]), [None]);
    assign(&mut registry, vec![place(task(0, 0), "a")]);
    assign(&mut registry, vec![place(task(0, 1), "a")]);
    end(&mut registry, "a", 1, task(0, 0), 1, Outcome::Done);
    assert_eq!(assign(&mut registry, vec![place(task(1, 0), "a")]), [None]);
    end(&mut registry, "a", 2, task(0, 1), 1, Outcome::Done);
    assert_eq!(
        assign(&mut registry, vec![place(task(1, 0), "a")]),
        [Some(1)]
    );
}

/// Guards against a gang that is assigned in part, and against members with different run numbers.
#[test]
fn a_gang_starts_as_a_whole_with_one_number() {
    let mut registry = registry(vec![step(2, true, &[])]);
    assert_eq!(assign(&mut registry, vec![place(task(0, 0), "a")]), [None]);
    let both = || vec![place(task(0, 0), "a"), place(task(0, 1), "b")];
    assert_eq!(assign(&mut registry, both()), [Some(1), Some(1)]);
    end(&mut registry, "a", 1, task(0, 0), 1, Outcome::Failed);
    assert_eq!(assign(&mut registry, both()), [None, None]);
    end(&mut registry, "b", 1, task(0, 1), 1, Outcome::Broken);
    assert_eq!(assign(&mut registry, both()), [Some(2), Some(2)]);
    end(&mut registry, "b", 2, task(0, 1), 2, Outcome::Done);
    assert_eq!(state(&registry), State::Completed);
}

/// Guards against a job that fails too early or never: a failed run of a gang counts once, however many members failed.
#[test]
fn a_job_fails_after_its_attempts() {
    let mut registry = registry(vec![step(2, true, &[])]);
    for run in 1..=2 {
        assert_eq!(state(&registry), State::Open);
        assign(
            &mut registry,
            vec![place(task(0, 0), "a"), place(task(0, 1), "b")],
        );
        let number = u64::from(run);
        end(&mut registry, "a", number, task(0, 0), run, Outcome::Failed);
        end(&mut registry, "b", number, task(0, 1), run, Outcome::Failed);
    }
    assert_eq!(state(&registry), State::Failed);
}

/// Guards against ends that are counted twice, or attributed to the wrong incarnation.
#[test]
fn an_end_counts_once_and_for_its_incarnation() {
    let mut registry = registry(vec![step(1, false, &[])]);
    assign(&mut registry, vec![place(task(0, 0), "a")]);
    end(&mut registry, "a", 1, task(0, 0), 1, Outcome::Failed);
    end(&mut registry, "a", 1, task(0, 0), 1, Outcome::Failed);
    assert_eq!(registry.task(&task(0, 0)).unwrap().failures, 1);
    registry.apply(upstream("a", 2));
    assert_eq!(registry.last_end(&"a".into()), 0);
    assert_eq!(assign(&mut registry, vec![place(task(0, 0), "a")]), [None]);
}

/// Guards against a task that runs twice: an upstream restarted, carried out a start that was sent to its earlier
/// incarnation and reported the end, which was recorded but not counted.
#[test]
fn an_end_counts_if_a_later_incarnation_ran_the_task() {
    let mut registry = registry(vec![step(1, false, &[])]);
    assign(&mut registry, vec![place(task(0, 0), "a")]);
    registry.apply(upstream("a", 2));
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
    progress(&mut registry, vec![ended]);
    assert!(registry.task(&task(0, 0)).unwrap().done);
    assert_eq!(state(&registry), State::Completed);
    assert_eq!(registry.allocations_on(&"a".into()).count(), 0);
}

/// Guards against allocations that are never freed, or freed while the run may still be running.
#[test]
fn resources_are_allocated_until_the_run_is_over() {
    let mut registry = registry(vec![step(1, false, &[])]);
    assign(&mut registry, vec![place(task(0, 0), "a")]);
    assert_eq!(registry.allocations_on(&"a".into()).count(), 1);
    registry.apply(Command::Cancel {
        at_ms: 30,
        job: JOB,
    });
    assert_eq!(state(&registry), State::Cancelled);
    assert_eq!(registry.allocations_on(&"a".into()).count(), 1);
    let void = Update::Void {
        blame: Blame::None,
        task: task(0, 0),
        run: 1,
        reason: Void::Lapsed,
        checkpoint: "3".into(),
    };
    progress(&mut registry, vec![void]);
    assert_eq!(registry.allocations_on(&"a".into()).count(), 0);
    assert_eq!(registry.task(&task(0, 0)).unwrap().checkpoint, "3");
}

/// Guards against runs that stay assigned to an upstream that has left, and against a late departure message of an
/// earlier incarnation.
#[test]
fn an_upstream_that_leaves_frees_its_runs() {
    let mut registry = registry(vec![step(1, false, &[])]);
    assign(&mut registry, vec![place(task(0, 0), "a")]);
    let leave = |born_ms| Command::Leave {
        upstream: "a".into(),
        born_ms,
    };
    registry.apply(leave(7));
    assert!(registry.upstream(&"a".into()).is_some());
    registry.apply(leave(1));
    assert!(registry.upstream(&"a".into()).is_none());
    assert_eq!(
        assign(&mut registry, vec![place(task(0, 0), "b")]),
        [Some(2)]
    );
}

/// Guards against a snapshot that loses jobs, runs or derived counts.
#[test]
fn a_snapshot_holds_everything() {
    let mut registry = registry(vec![step(2, false, &[])]);
    assign(&mut registry, vec![place(task(0, 0), "a")]);
    let loaded = Registry::load(&registry.save().unwrap()).unwrap();
    assert_eq!(loaded.allocations_on(&"a".into()).count(), 1);
    assert_eq!(loaded.open_jobs().count(), 1);
    assert_eq!(loaded.save().unwrap(), registry.save().unwrap());
    assert!(Registry::load(&[1, 2, 3]).is_err());
}

/// Guards against ended jobs that are removed too early or never.
#[test]
fn ended_jobs_are_removed_after_their_retention_time() {
    let mut registry = registry(vec![step(1, false, &[])]);
    registry.apply(Command::Cancel {
        at_ms: 100,
        job: JOB,
    });
    progress(&mut registry, vec![Update::Expire { before_ms: 100 }]);
    assert!(registry.job(JOB).is_some());
    progress(&mut registry, vec![Update::Expire { before_ms: 101 }]);
    assert!(registry.job(JOB).is_none());
}

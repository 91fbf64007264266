use {
    super::helpers::{addresses, heartbeat, spawn},
    dispatch::Control,
    gate::{
        Outcome,
        call::{Reply, Request},
    },
    std::time::Duration,
    work::{
        id,
        job::{Definition, Step},
        registry::{self, Command},
        upstream::{self, End},
    },
};

const TIMEOUT: Duration = Duration::from_secs(20);

const JOB: id::Job = id::Job(5);

const TASK: id::Task = id::Task {
    job: JOB,
    occurrence: 0,
    step: 0,
    index: 0,
};

fn progress(update: registry::Update) -> Command {
    Command::Progress {
        at_ms: 1,
        steps: vec![update],
    }
}

/// Registers upstream `i-1` and assigns a run of a task to it.
async fn assign(control: &Control) {
    let done = Outcome::Answered(Reply::Done);
    assert_eq!(control.call(heartbeat(1, false), TIMEOUT).await, done);
    let definition = Definition {
        steps: vec![Step {
            count: 1,
            ..Step::default()
        }],
        ..Definition::default()
    };
    let submission = Command::Submit {
        at_ms: 1,
        job: JOB,
        account: None,
        queue: "none".into(),
        form: Box::new(definition),
    };
    let assign = progress(registry::Update::Assign(vec![registry::Placement {
        task: TASK,
        upstream: "i-1".into(),
        born_ms: 1,
    }]));
    for command in [submission, assign] {
        control.replica().propose(&command).await.unwrap();
    }
}

fn leave() -> Request {
    Request::Leave {
        upstream: "i-1".into(),
        born_ms: Some(1),
    }
}

/// Guards against a task that runs again although its upstream listed it as done just before it left. The removal of
/// the upstream was committed before the end of the run, which had not reached the log yet.
#[tokio::test]
async fn ends_listed_before_deregistration_count() {
    let address = addresses(1)[0];
    let folder = tempfile::tempdir().unwrap();
    let control = spawn(address, &[address], folder.path(), true);
    assign(&control).await;
    let ended = progress(registry::Update::Ended {
        upstream: "i-1".into(),
        born_ms: 1,
        ends: vec![End {
            number: 1,
            task: TASK,
            run: 1,
            how: upstream::Outcome::Done,
            checkpoint: String::new(),
        }],
    });
    // The end is committed while the deregistration is handled.
    let commit = control.replica().propose(&ended);
    let (left, committed) = tokio::join!(control.call(leave(), TIMEOUT), commit);
    assert_eq!(left, Outcome::Answered(Reply::Done));
    committed.unwrap();
    let state = control.replica().state().unwrap();
    assert_eq!(
        state.registry().job(JOB).unwrap().state,
        registry::State::Completed
    );
}

/// Guards against a task that runs twice: an upstream runs on until it has the answer to its deregistration, or for seconds
/// without one, and the task started elsewhere meanwhile.
#[tokio::test]
async fn a_deregistration_ends_no_run() {
    let address = addresses(1)[0];
    let folder = tempfile::tempdir().unwrap();
    let control = spawn(address, &[address], folder.path(), true);
    assign(&control).await;
    let left = control.call(leave(), TIMEOUT).await;
    assert_eq!(left, Outcome::Answered(Reply::Done));
    let state = control.replica().state().unwrap();
    assert!(state.registry().run(&TASK, 1).is_some());
}

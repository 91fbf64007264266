//! Whether a failed run is the fault of its step or of the upstream.

use {
    plan::learn,
    work::{
        job::{Definition, Step},
        registry::{Occurrence, Run, StepProgress},
    },
};

/// A step of `count` tasks of which the first has failed on these upstreams and the others run.
fn progress(count: u16, failed_on: &[&str]) -> StepProgress {
    let step = Step {
        count,
        ..Step::default()
    };
    let definition = Definition {
        steps: vec![step],
        ..Definition::default()
    };
    let mut progress = Occurrence::new(&definition).steps.remove(0);
    progress.tasks[0].failed_on = failed_on.iter().map(|id| (*id).into()).collect();
    for (index, task) in progress.tasks.iter_mut().enumerate() {
        task.live.push(Run {
            number: 1,
            upstream: format!("other-{index}").as_str().into(),
            born_ms: 1,
            assigned_ms: 0,
        });
    }
    progress
}

/// Guards against upstreams that are paused because of a step that fails wherever it runs.
#[test]
fn a_step_that_has_failed_on_three_upstreams_is_at_fault() {
    let is_fault =
        |known: &[&str], at: &str| learn::is_fault_of_step(&progress(1, known), &at.into());
    assert!(!is_fault(&[], "a"));
    assert!(!is_fault(&["a"], "b"));
    assert!(!is_fault(&["a", "b"], "b"));
    assert!(is_fault(&["a", "b"], "c"));
}

/// Guards against upstreams that fail all that they start and are not paused, because a wide step has failed on several
/// of them while most of its tasks run elsewhere.
#[test]
fn a_step_that_runs_elsewhere_is_not_at_fault() {
    let known = progress(9, &["a", "b"]);
    assert!(!learn::is_fault_of_step(&known, &"c".into()));
    let mut gang = known;
    gang.gang_run = 3;
    assert!(learn::is_fault_of_step(&gang, &"c".into()));
}

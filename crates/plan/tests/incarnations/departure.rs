use {
    crate::{
        leader::sweep_task,
        scene::{CRASH_MS, CUT_MS, Scene},
    },
    plan::engine::Event,
    work::upstream::Outcome,
};

/// Lets `a` say that it leaves.
fn leave(scene: &mut Scene) {
    let born_ms = scene.node.born_ms;
    scene.events.push(Event::UpstreamLeaves {
        upstream: "a".into(),
        born_ms,
    });
}

fn is_registered(scene: &Scene) -> bool {
    scene.registry.upstream(&"a".into()).is_some()
}

/// Guards against a task that runs twice: its upstream left, did not get the answer, and ran on for seconds.
#[test]
fn a_task_does_not_begin_elsewhere_while_its_upstream_runs_on_after_leaving() {
    let mut scene = Scene::new();
    scene.empty_other();
    scene.run_until(CUT_MS);
    leave(&mut scene);
    scene.is_reachable = false;
    scene.assert_not_begun_elsewhere();
    scene.assert_over_once_given_up();
    let waited_ms = scene.now_ms - CUT_MS;
    assert!(waited_ms < 7000, "given up after {waited_ms} ms");
    scene.run_until(scene.now_ms + 500);
    assert!(!is_registered(&scene));
    let task = scene.registry.task(&sweep_task());
    let live = task.and_then(|task| task.live.first());
    assert!(live.is_some_and(|run| run.upstream == "b".into()));
}

/// Guards against ends that are lost because their upstream was removed before it had listed them.
#[test]
fn an_end_that_is_listed_after_leaving_counts() {
    let mut scene = Scene::new();
    scene.empty_other();
    scene.run_until(CRASH_MS);
    leave(&mut scene);
    scene.run_until(CRASH_MS + 600);
    scene.node.end(Outcome::Done);
    scene.run_until(CRASH_MS + 1200);
    assert!(scene.registry.task(&sweep_task()).unwrap().done);
    assert!(!is_registered(&scene));
}

/// Guards against new work on an upstream that leaves without having drained.
#[test]
fn an_upstream_that_leaves_gets_no_work() {
    let mut scene = Scene::new();
    scene.run_until(CRASH_MS);
    leave(&mut scene);
    scene.run_until(CRASH_MS + 600);
    scene.node.end(Outcome::Failed);
    scene.run_until(CRASH_MS + 1200);
    assert!(!is_registered(&scene));
    assert!(scene.node.running.is_none());
}

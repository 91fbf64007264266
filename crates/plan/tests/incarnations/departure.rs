use {
    crate::{
        leader::sweep_task,
        scene::{CRASH_MS, CUT_MS, STEP_MS, Scene},
        starts::{OPEN_MS, open_start},
    },
    plan::engine::Event,
    work::{registry::Command, upstream::Outcome},
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

/// Guards against jobs that are lost: the upstream drained and was gone with an open start, and the task waited for late calls
/// that could prolong its lease.
#[test]
fn a_task_whose_upstream_drained_waits_for_its_open_start_and_no_longer() {
    let mut scene = Scene::new();
    open_start(&mut scene);
    let sent_ms = scene.now_ms;
    let known = scene.registry.upstream(&"a".into()).cloned();
    let mut upstream = known.expect("the upstream is known");
    upstream.draining = true;
    scene.registry.apply(Command::Register {
        upstream: Box::new(upstream),
    });
    scene.run_until(sent_ms + 2000);
    leave(&mut scene);
    scene.is_reachable = false;
    while scene.registry.run(&sweep_task(), 2).is_some() {
        scene.run_until(scene.now_ms + STEP_MS);
    }
    let waited_ms = scene.now_ms - sent_ms;
    assert!(
        (OPEN_MS..OPEN_MS + 2000).contains(&waited_ms),
        "given up after {waited_ms} ms"
    );
}

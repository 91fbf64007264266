//! Open starts of runs that have ended.

use {
    crate::{
        leader::sweep_task,
        scene::{STEP_MS, Scene},
        starts::{MAX_DELAY_MS, OPEN_MS, open_start},
    },
    work::{registry::Command, upstream::Outcome},
};

/// A run ends as stopped, and the next incarnation carries out a start of it behind a cut.
fn late_start_of_an_ended_run() -> Scene {
    let mut scene = Scene::new();
    let late = open_start(&mut scene);
    let sent_ms = scene.now_ms;
    scene.takes_starts = true;
    scene.run_until(sent_ms + 1000);
    scene.node.end(Outcome::Stopped);
    scene.run_until(sent_ms + MAX_DELAY_MS - 500);
    scene.crash();
    scene.run_until(sent_ms + MAX_DELAY_MS - 100);
    scene.restart_unseen();
    scene.carry_out_late(late);
    assert!(
        scene.node.running.is_some(),
        "the late start is carried out"
    );
    scene
}

/// Guards against a task on two upstreams at once: its run had ended, and the next incarnation had carried out an open start
/// behind a cut and was at work until the end of its lease.
#[test]
fn a_task_whose_run_has_ended_waits_for_the_lease_of_its_open_start() {
    late_start_of_an_ended_run().assert_not_begun_elsewhere();
}

/// Guards against a task on two upstreams at once: the leader changed after the open start could be carried out, and before
/// the end of its lease.
#[test]
fn a_new_leader_waits_for_the_lease_of_a_start_of_an_ended_run() {
    let mut scene = late_start_of_an_ended_run();
    scene.run_until(scene.now_ms + OPEN_MS - MAX_DELAY_MS + 200);
    scene.hand_over();
    scene.assert_not_begun_elsewhere();
}

/// Guards against callers that wait for a lease although the upstream has answered since a start could be carried out.
#[test]
fn an_answer_settles_the_open_start_of_a_run_that_has_ended() {
    let mut scene = Scene::new();
    open_start(&mut scene);
    let sent_ms = scene.now_ms;
    scene.takes_starts = true;
    scene.run_until(sent_ms + 1000);
    scene.node.end(Outcome::Stopped);
    scene.run_until(sent_ms + OPEN_MS + 1500);
    let runs = scene.registry.task(&sweep_task()).map(|task| &task.live);
    assert!(runs.is_some_and(|runs| !runs.is_empty()), "the task waits");
}

/// Guards against a task that runs again after its noted end: the next incarnation had carried out a late start of an ended run
/// to its end, which the registry did not take for the task's.
#[test]
fn the_noted_end_of_a_late_start_of_an_ended_run_counts() {
    let mut scene = late_start_of_an_ended_run();
    scene.run_until(scene.now_ms + 1000);
    scene.node.end(Outcome::Done);
    scene.is_reachable = true;
    let known = scene.registry.upstream(&"a".into()).cloned();
    let mut upstream = known.expect("the upstream is known");
    upstream.born_ms = scene.node.born_ms;
    scene.registry.apply(Command::Register {
        upstream: Box::new(upstream),
    });
    scene.beat();
    let mut is_begun_again = false;
    for _ in 0..20_000 / STEP_MS {
        scene.run_until(scene.now_ms + STEP_MS);
        let task = scene.registry.task(&sweep_task());
        is_begun_again |= task.is_some_and(|task| !task.live.is_empty());
    }
    assert!(!is_begun_again || scene.node.released == 0);
}

use {
    crate::{
        leader::{submit, sweep_task},
        scene::{CRASH_MS, CUT_MS, Call, MAX_LEASE_MS, STEP_MS, Scene},
    },
    work::{id, registry::State, upstream::Outcome},
};

/// Work that waits beside the sweep job.
const EXTRA: id::Job = id::Job(3);

/// Lets the leader start the task on `a` again, and takes the first start, which is not carried out yet. There is room on `b`
/// then.
pub fn open_start(scene: &mut Scene) -> (Call, u64) {
    scene.run_until(CRASH_MS);
    scene.node.running = None;
    scene.takes_starts = false;
    while !matches!(scene.unanswered, Some((Call::Start(_), _))) {
        assert!(scene.now_ms < CRASH_MS + 5000, "no start is sent");
        scene.run_until(scene.now_ms + STEP_MS);
    }
    scene.empty_other();
    scene.unanswered.take().expect("a start is under way")
}

/// Guards against a task on two upstreams at once: an upstream started again behind a cut, unknown to the leader, and carried
/// out a start to its earlier incarnation after the lease of that one.
#[test]
fn an_open_start_outlasts_the_lease_behind_a_cut() {
    let mut scene = Scene::new();
    let late = open_start(&mut scene);
    let sent_ms = scene.now_ms;
    scene.takes_starts = true;
    scene.run_until(sent_ms + 400);
    assert!(scene.node.running.is_some(), "the second start is answered");
    scene.crash();
    scene.restart_unseen();
    scene.run_until(sent_ms + 5000);
    scene.carry_out_late(late);
    assert!(
        scene.node.running.is_some(),
        "the late start is carried out"
    );
    scene.assert_over_once_given_up();
}

/// Guards against a task on two upstreams at once: the next incarnation had answered its start, and a hold for the earlier one
/// prolonged its lease behind a cut.
#[test]
fn a_start_that_the_next_incarnation_answers_may_outlast_the_lease() {
    let mut scene = Scene::new();
    scene.run_until(CRASH_MS);
    scene.node.running = None;
    scene.restarts_before_start = true;
    while scene.node.running.is_none() {
        assert!(scene.now_ms < CRASH_MS + 5000, "no start is sent");
        scene.run_until(scene.now_ms + STEP_MS);
    }
    let sent_ms = scene.now_ms;
    scene.run_until(sent_ms + 5000);
    let late = scene.unanswered.take().expect("a hold is under way");
    scene.carry_out_late(late);
    scene.assert_over_once_given_up();
}

/// Guards against a task on two upstreams at once: its start had no answer and was ruled out by a stop that the upstream
/// confirmed, which its next incarnation doesn't know.
#[test]
fn a_confirmed_stop_rules_out_no_start_in_a_later_incarnation() {
    let mut scene = Scene::new();
    let late = open_start(&mut scene);
    let sent_ms = scene.now_ms;
    // Longer than four starts and the stop that follows them.
    scene.run_until(sent_ms + 3000);
    assert!(scene.node.barred >= run_of(&late), "the run is stopped");
    scene.crash();
    scene.run_until(sent_ms + 3600);
    scene.restart_unseen();
    scene.carry_out_late(late);
    assert!(
        scene.node.running.is_some(),
        "the late start is carried out"
    );
    scene.assert_not_begun_elsewhere();
}

/// Guards against a task on two upstreams at once: an earlier leader had sent a start that is still under way when its
/// upstream crashes under the next leader, which found the run neither running nor ended.
#[test]
fn a_new_leader_waits_for_starts_of_the_earlier_one() {
    let mut scene = Scene::new();
    let late = open_start(&mut scene);
    let sent_ms = scene.now_ms;
    scene.replace_leader();
    scene.run_until(sent_ms + 3000);
    scene.crash();
    scene.run_until(sent_ms + 3600);
    scene.restart_unseen();
    scene.carry_out_late(late);
    assert!(
        scene.node.running.is_some(),
        "the late start is carried out"
    );
    scene.assert_not_begun_elsewhere();
}

/// Guards against a task on two upstreams at once: its run was stopped, and an open start of the same run was carried out by
/// the next incarnation while the task ran elsewhere.
#[test]
fn a_task_whose_run_was_stopped_waits_for_its_open_start() {
    let mut scene = Scene::new();
    let late = open_start(&mut scene);
    let sent_ms = scene.now_ms;
    scene.takes_starts = true;
    scene.run_until(sent_ms + 1000);
    scene.node.end(Outcome::Stopped);
    scene.run_until(sent_ms + 3000);
    scene.crash();
    scene.run_until(sent_ms + 3600);
    scene.restart_unseen();
    scene.carry_out_late(late);
    assert!(
        scene.node.running.is_some(),
        "the late start is carried out"
    );
    scene.assert_not_begun_elsewhere();
}

/// Guards against a task that is started after its end was released: an open start was carried out by the next incarnation.
#[test]
fn the_end_of_a_run_is_released_after_its_open_starts() {
    let mut scene = Scene::new();
    open_start(&mut scene);
    let sent_ms = scene.now_ms;
    scene.takes_starts = true;
    scene.run_until(sent_ms + 1000);
    scene.node.end(Outcome::Done);
    scene.run_until(sent_ms + MAX_DELAY_MS);
    let job = scene.registry.job(sweep_task().job);
    assert!(job.is_some_and(|job| job.state == State::Completed));
    assert_eq!(scene.node.released, 0);
    scene.run_until(sent_ms + MAX_DELAY_MS + 6000);
    assert_eq!(scene.node.released, 1);
}

/// Guards against callers that wait for a start which is not under way: a new leader sends the start of its predecessor
/// again if the upstream doesn't list the run.
#[test]
fn a_new_leader_sends_an_unknown_start_again() {
    let mut scene = Scene::new();
    open_start(&mut scene);
    scene.replace_leader();
    scene.takes_starts = true;
    let begun_ms = scene.now_ms;
    scene.run_until(begun_ms + 500);
    assert!(scene.node.running.is_some(), "the task waits");
}

/// Guards against a task that is never started again: what is open ends with the time in which a start may be late.
#[test]
fn a_task_with_an_open_start_is_started_again_in_time() {
    let mut scene = Scene::new();
    open_start(&mut scene);
    let sent_ms = scene.now_ms;
    scene.run_until(sent_ms + 1000);
    scene.crash();
    scene.run_until(sent_ms + 24_000);
    let job = scene.registry.job(sweep_task().job);
    assert!(job.is_some_and(|job| job.state == State::Open));
    let runs = scene.registry.task(&sweep_task()).map(|task| &task.live);
    assert!(
        runs.is_some_and(|runs| runs.iter().any(|run| run.upstream == "b".into())),
        "{runs:?}"
    );
}

/// Guards against a new leader that stops a task at work because a start of it is open.
#[test]
fn a_new_leader_stops_no_run_with_an_open_start() {
    let mut scene = Scene::new();
    open_start(&mut scene);
    scene.takes_starts = true;
    scene.run_until(scene.now_ms + 1000);
    let running = scene.node.running;
    assert!(running.is_some(), "the second start is answered");
    scene.hand_over();
    scene.run_until(scene.now_ms + 5000);
    assert_eq!(scene.node.running, running);
}

/// Longest delay of a call that the platform documents.
pub const MAX_DELAY_MS: u64 = 12_000;

/// Time for which a lease may last that the leader does not know, with its margins.
const LONGEST_LEASE_MS: u64 = 6500;

/// Time after which a start without an answer is not carried out, by the leader's reckoning.
pub const OPEN_MS: u64 = 15_000;

/// Guards against callers that wait for a start which cannot be under way any more: a run was stopped after its starts had no
/// answer, and the next leader could not reach its upstream either.
#[test]
fn a_new_leader_does_not_wait_for_starts_of_a_stopped_run() {
    let mut scene = Scene::new();
    open_start(&mut scene);
    let sent_ms = scene.now_ms;
    scene.run_until(sent_ms + 3000);
    assert!(scene.node.barred > 0, "the run is stopped");
    scene.crash();
    let crash_ms = scene.now_ms;
    scene.run_until(crash_ms + OPEN_MS + 3000);
    for _ in 0..3 {
        assert_eq!(scene.lapsed_ms, None);
        scene.hand_over();
        scene.run_until(scene.now_ms + 3000);
    }
    let begun_ms = scene.now_ms - 3000;
    scene.assert_over_once_given_up();
    let waited_ms = scene.now_ms - begun_ms;
    assert!(waited_ms < LONGEST_LEASE_MS, "waited for {waited_ms} ms");
}

/// Guards against callers that wait for a start which cannot be under way any more: nothing was known of a run, and neither
/// leader could reach its upstream.
#[test]
fn a_third_leader_does_not_wait_for_starts_of_the_first_one() {
    let mut scene = Scene::new();
    open_start(&mut scene);
    scene.crash();
    scene.replace_leader();
    scene.run_until(scene.now_ms + OPEN_MS + 1000);
    assert_eq!(scene.lapsed_ms, None);
    scene.hand_over();
    let begun_ms = scene.now_ms;
    scene.assert_over_once_given_up();
    let waited_ms = scene.now_ms - begun_ms;
    assert!(waited_ms < LONGEST_LEASE_MS, "waited for {waited_ms} ms");
}

/// Guards against a task on two upstreams at once: the next incarnation carried out a late start behind a cut, and a hold that
/// was under way at the change of leader prolonged its lease.
#[test]
fn a_new_leader_waits_for_holds_that_may_prolong_a_late_start() {
    let mut scene = Scene::new();
    let late_start = open_start(&mut scene);
    let sent_ms = scene.now_ms;
    scene.takes_starts = true;
    scene.run_until(sent_ms + MAX_DELAY_MS - 500);
    assert!(scene.node.running.is_some(), "the second start is answered");
    scene.crash();
    let hold_ms = scene.now_ms;
    scene.run_until(hold_ms + 200);
    let late_hold = scene.unanswered.take().expect("a hold is under way");
    assert!(matches!(late_hold, (Call::Hold(_), _)));
    scene.restart_unseen();
    scene.carry_out_late(late_start);
    scene.run_until(sent_ms + OPEN_MS + 500);
    scene.hand_over();
    // Its lease lasts until then.
    scene.run_until(hold_ms + MAX_LEASE_MS);
    scene.carry_out_late(late_hold);
    scene.assert_over_once_given_up();
}

/// Guards against a start that is sent after the next leader was told that none will be: the upstream of a stopped run
/// started again, and the stop was forgotten.
#[test]
fn a_stopped_run_is_not_started_in_the_next_incarnation() {
    let mut scene = Scene::new();
    let late = open_start(&mut scene);
    let run = run_of(&late);
    scene.takes_starts = true;
    scene.node.barred = run;
    scene.run_until(scene.now_ms + 1000);
    scene.takes_starts = false;
    scene.crash();
    scene.run_until(scene.now_ms + 600);
    scene.unanswered = None;
    scene.restart();
    scene.run_until(scene.now_ms + 2000);
    let sent = scene.unanswered.as_ref().map(run_of);
    assert!(sent != Some(run), "run {run} is started again");
}

/// Guards against callers that wait for starts which are known to be settled, because placements were under way in each step
/// of the leader since.
#[test]
fn a_leader_tells_of_starts_while_placements_are_under_way() {
    let mut scene = Scene::new();
    scene.tell_until(CRASH_MS);
    scene.empty_other();
    submit(&mut scene.registry, EXTRA, "urgent");
    scene.withheld = Some(EXTRA);
    scene.tell_until(CRASH_MS + 1000);
    scene.node.running = None;
    scene.tell_until(CRASH_MS + OPEN_MS);
    assert!(scene.node.running.is_some(), "the task is started again");
    scene.crash();
    scene.promote_follower();
    let begun_ms = scene.now_ms;
    scene.assert_over_once_given_up();
    let waited_ms = scene.now_ms - begun_ms;
    assert!(waited_ms < LONGEST_LEASE_MS, "waited for {waited_ms} ms");
}

/// Guards against a task on two upstreams at once: its run had ended since the followers were told that further starts may be
/// sent, and the next leader knew of no open start.
#[test]
fn a_new_leader_waits_for_starts_of_a_run_that_has_ended_since_the_report() {
    let mut scene = Scene::new();
    let late = open_start(&mut scene);
    scene.tell();
    scene.takes_starts = true;
    scene.run_until(scene.now_ms + 400);
    scene.node.end(Outcome::Stopped);
    scene.run_until(scene.now_ms + 200);
    assert_eq!(scene.registry.run(&sweep_task(), run_of(&late)), None);
    scene.promote_follower();
    scene.run_until(scene.now_ms + 400);
    scene.crash();
    scene.run_until(scene.now_ms + 600);
    scene.restart_unseen();
    scene.carry_out_late(late);
    scene.assert_not_begun_elsewhere();
}

fn run_of((call, _): &(Call, u64)) -> u32 {
    match call {
        Call::Start(start) => start.run,
        Call::Hold(_) => 0,
    }
}

/// Guards against tasks that wait for starts which cannot be carried out any more: a new leader that was told of no starts
/// had listed the run, and lost its upstream long after.
#[test]
fn a_run_that_is_listed_after_its_open_starts_has_only_its_lease() {
    let mut scene = Scene::new();
    scene.run_until(CUT_MS);
    scene.is_reachable = false;
    scene.assert_over_once_given_up();
    let waited_ms = scene.now_ms - CUT_MS;
    assert!(waited_ms < 7000, "given up after {waited_ms} ms");
}

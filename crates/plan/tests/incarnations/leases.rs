use {
    crate::{
        leader::sweep_task,
        scene::{
            CRASH_MS, CUT_MS, Call, EPOCH_MS, FIRST_CLOCK_MS, LATE_MS, MAX_LEASE_MS, RESTART_MS,
            STEP_MS, Scene,
        },
    },
    plan::engine::{Event, Start},
    work::registry::{Command, Placement, Update, Void},
};

/// Guards against a task that starts elsewhere while its run is at work: a hold for the earlier incarnation, on whose clock
/// its lease ended far in the future, was carried out by the next one, behind a cut, and gave it the longest lease.
#[test]
fn a_late_hold_for_an_earlier_incarnation_gives_no_lease() {
    let mut scene = Scene::new();
    scene.run_until(CRASH_MS);
    scene.crash();
    scene.run_until(RESTART_MS);
    let late = scene.unanswered.take().expect("a hold was under way");
    scene.restart();
    scene.run_until(CUT_MS);
    assert!(scene.node.running.is_some(), "the task is started again");
    scene.is_reachable = false;
    scene.run_until(LATE_MS);
    scene.carry_out_late(late);
    scene.assert_over_once_given_up();
    assert!(
        scene.now_ms < CUT_MS + 8000,
        "given up at {} ms",
        scene.now_ms
    );
}

/// Guards against orders to an earlier incarnation that the next one cannot tell from its own, such as a hold that releases
/// ends: the numbers of ends begin again with each incarnation.
#[test]
fn each_incarnation_gets_a_higher_token() {
    let mut scene = Scene::new();
    scene.run_until(CRASH_MS);
    let mut highest = 0;
    for _ in 0..3 {
        let least = scene.tokens.iter().copied().min().expect("calls were sent");
        assert!(least > highest, "{least} after {highest}");
        highest = scene.tokens.iter().copied().max().expect("calls were sent");
        scene.crash();
        scene.run_until(scene.now_ms + 600);
        scene.restart();
        scene.run_until(scene.now_ms + 2000);
    }
}

/// Guards against an upstream that refuses the leader's calls for good, because an incarnation that the leader has forgotten
/// had a higher token.
#[test]
fn an_upstream_with_a_higher_token_of_the_same_term_is_reached() {
    let mut scene = Scene::new();
    scene.node.token = scene.term + 1;
    scene.tokens.clear();
    scene.run_until(CRASH_MS);
    let highest = scene.tokens.iter().copied().max();
    assert!(highest > Some(scene.term + 1), "{highest:?}");
    assert!(scene.tokens.iter().all(|token| token >> 32 == 7));
    scene.run_until(CRASH_MS + 25_000);
    assert_eq!(scene.lapsed_ms, None);
}

/// Guards against a new leader that takes a run for over while it is at work: the start was sent to the earlier incarnation
/// and is carried out by the next one, which this leader cannot reach.
#[test]
fn a_new_leader_waits_for_late_calls_to_an_earlier_incarnation() {
    new_leader_waits_for_late_calls(0);
}

/// Guards against a wait for late calls that is cut short by a time of day which is ahead of that of the upstreams.
#[test]
fn the_time_of_day_does_not_shorten_the_wait_for_late_calls() {
    for ahead_ms in [3500, 4500, 6000, 12_000] {
        new_leader_waits_for_late_calls(ahead_ms);
    }
}

fn new_leader_waits_for_late_calls(ahead_ms: u64) {
    let mut scene = Scene::new();
    scene.ahead_ms = ahead_ms;
    scene.run_until(CRASH_MS);
    scene.crash();
    // The earlier leader has begun another run and has sent its start.
    scene.registry.apply(Command::Progress {
        at_ms: EPOCH_MS + CRASH_MS,
        steps: vec![
            Update::Void {
                task: sweep_task(),
                run: 1,
                reason: Void::Absent,
                checkpoint: String::new(),
                blame: work::registry::Blame::None,
            },
            Update::Assign(vec![Placement {
                task: sweep_task(),
                upstream: "a".into(),
                born_ms: 1,
            }]),
        ],
    });
    let job = scene.registry.job(sweep_task().job);
    let start = Start {
        task: sweep_task(),
        run: 2,
        definition: job.expect("the job is known").form.clone(),
        lease_until_ms: FIRST_CLOCK_MS + CRASH_MS + MAX_LEASE_MS,
        checkpoint: String::new(),
        ticket: None,
    };
    let late = (Call::Start(start), scene.term);
    scene.now_ms = RESTART_MS;
    scene.restart();
    scene.is_reachable = false;
    scene.replace_leader();
    // 12 s after the crash.
    scene.run_until(CRASH_MS + 12_000);
    scene.carry_out_late(late);
    scene.assert_over_once_given_up();
}

/// Guards against leases that are computed from the clock of an earlier incarnation.
#[test]
fn an_answer_of_an_earlier_incarnation_tells_nothing_of_the_clock() {
    let mut scene = Scene::new();
    scene.node.running = None;
    let mut late = None;
    while late.is_none() {
        assert!(scene.now_ms < CRASH_MS, "the task is never started again");
        scene.run_until(scene.now_ms + STEP_MS);
        // Takes the answer to the start out of the queue.
        let is_start = |event: &Event| matches!(event, Event::StartAnswered { answer: Ok(Some(clock_ms)), .. } if *clock_ms >= FIRST_CLOCK_MS);
        if let Some(index) = scene.events.iter().position(is_start) {
            late = Some(scene.events.remove(index));
        }
    }
    scene.crash();
    scene.run_until(scene.now_ms + 100);
    scene.restart();
    scene.run_until(scene.now_ms + 200);
    scene.events.extend(late);
    scene.run_until(scene.now_ms + 2000);
    scene.is_reachable = false;
    scene.run_until(scene.now_ms + 2000);
    let Some((Call::Hold(hold), _)) = scene.unanswered else {
        panic!("no hold is under way");
    };
    let until_ms = hold.lease_until_ms.expect("a lease");
    let clock_ms = scene.node.clock_ms(scene.now_ms);
    assert!(
        until_ms <= clock_ms + MAX_LEASE_MS,
        "a lease until {until_ms} at {clock_ms}"
    );
}

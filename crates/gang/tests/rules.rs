//! One test for each rule of the scheduler.

mod common;

use {
    common::{Harness, account, guarantee, shape, worker},
    gang::{Cause, Decision, Event, Reason, Scheduler, Settings},
    model::{
        account::Account,
        job::{Class, Spec, State},
        shape::{Adjacency, Shape},
        worker::{Task, TaskState, Usage},
    },
    std::time::Duration,
};

fn gang(tasks: u16, accelerators: u16) -> Shape {
    shape(tasks, accelerators, Adjacency::Rack)
}

fn guaranteed(shape: Shape, count: u16) -> Account {
    let mut account = account(&["north"]);
    account
        .guarantees
        .insert("g".into(), guarantee(shape, count, "north"));
    account
}

fn submit_non_repeatable(harness: &mut Harness, account: &str, shape: Shape) -> u64 {
    let id = harness.submit(account, Class::Standard, shape);
    let spec = Spec {
        repeatable: false,
        ..harness.jobs[id as usize].spec.clone()
    };
    harness.change(id, State::Cancelled);
    harness.submit_spec(spec)
}

/// Guards against a claim that stops more jobs than needed or loses more work than needed.
#[test]
fn claim_reclaims_the_cheapest_borrowed_job() {
    let mut harness = Harness::new([("a", guaranteed(gang(1, 8), 1)), ("b", account(&["north"]))]);
    harness.announce_rack(2);
    let first = harness.submit("b", Class::Standard, gang(1, 8));
    harness.run_until_idle();
    let second = harness.submit("b", Class::Standard, gang(1, 8));
    harness.run_until_idle();
    for (id, since) in [(first, 50), (second, 400)] {
        let name = harness.jobs[id as usize].attempt.as_ref().unwrap().members[0]
            .worker
            .clone();
        let usage = Usage {
            cpus: 1.0,
            memory_mb: 1,
            since_checkpoint_seconds: since,
        };
        let task = Task {
            token: 0,
            job: id,
            task: 0,
            state: TaskState::Running,
            usage,
            detail: String::new(),
        };
        let worker = Box::new(worker(&name, "a", "r0"));
        harness.observe(Event::WorkerAnnounced {
            worker,
            tasks: vec![task],
        });
    }
    let claim = harness.submit("a", Class::Urgent, gang(1, 8));
    let decisions = harness.decide();
    let reason = Reason::Claim { job: claim };
    assert_eq!(decisions, vec![Decision::Reclaim { job: first, reason }]);
    harness.commit(decisions);
    harness.run_until_idle();
    assert_eq!(harness.state(claim), State::Running);
    assert!(!harness.jobs[claim as usize].borrowed);
    assert_eq!(harness.state(second), State::Running);
}

/// Guards against a job that cannot be preempted being placed where the last placement for a guarantee
/// is.
#[test]
fn admission_keeps_the_proof() {
    let mut harness = Harness::new([("a", guaranteed(gang(2, 8), 1)), ("b", account(&["north"]))]);
    harness.announce_rack(2);
    let id = submit_non_repeatable(&mut harness, "b", gang(1, 1));
    harness.run_until_idle();
    assert_eq!(harness.state(id), State::Queued);
    assert!(
        harness.explain(id).starts_with("guarantee"),
        "{}",
        harness.explain(id)
    );
    let preemptible = harness.submit("b", Class::Standard, gang(1, 1));
    harness.run_until_idle();
    assert_eq!(harness.state(preemptible), State::Running);
}

/// Guards against an unreported shortfall, and against borrowing while there is one.
#[test]
fn lost_worker_is_a_shortfall_and_stops_borrowing() {
    let mut harness = Harness::new([("a", guaranteed(gang(2, 8), 1)), ("b", account(&["north"]))]);
    harness.announce_rack(2);
    harness.run_until_idle();
    harness.observe(Event::WorkerLost {
        worker: "w1".into(),
    });
    let id = harness.submit("b", Class::Standard, gang(1, 1));
    let decisions = harness.decide();
    let [Decision::ShortfallsChanged { shortfalls }] = decisions.as_slice() else {
        panic!("{decisions:?}");
    };
    assert_eq!(
        (shortfalls[0].missing, &shortfalls[0].cause),
        (1, &Cause::ShapeTooLarge)
    );
    assert!(
        harness.explain(id).starts_with("owed"),
        "{}",
        harness.explain(id)
    );
    harness.announce_rack(2);
    harness.run_until_idle();
    assert!(harness.scheduler.shortfalls().is_empty());
    assert_eq!(harness.state(id), State::Running);
}

/// Guards against accepting a configuration whose guarantees do not fit, and against an existing
/// shortfall that blocks all configuration changes.
#[test]
fn check_reports_only_added_shortfalls() {
    let mut harness = Harness::new([("a", guaranteed(gang(2, 8), 1))]);
    harness.announce_rack(2);
    harness.run_until_idle();
    let mut next = harness.config.clone();
    next.accounts.insert("b".into(), guaranteed(gang(1, 1), 1));
    let shortfalls = harness.scheduler.check(&next).unwrap_err();
    assert_eq!(
        (shortfalls.len(), shortfalls[0].missing),
        (1, 1),
        "{shortfalls:?}"
    );
    harness.observe(Event::WorkerLost {
        worker: "w1".into(),
    });
    harness.run_until_idle();
    let mut next = harness.config.clone();
    next.accounts.insert("c".into(), account(&["north"]));
    assert_eq!(harness.scheduler.check(&next), Ok(()));
}

/// Guards against jobs that wait forever because no known worker could hold them.
#[test]
fn can_run_refuses_impossible_shapes() {
    let mut harness = Harness::new([("a", account(&["north"]))]);
    harness.announce_rack(2);
    let id = harness.submit("a", Class::Standard, gang(1, 8));
    let mut spec = harness.jobs[id as usize].spec.clone();
    assert_eq!(harness.scheduler.can_run(&spec), Ok(()));
    for wrong in [
        gang(3, 8),
        gang(1, 9),
        Shape {
            cpus: 33,
            ..gang(1, 1)
        },
    ] {
        spec.shape = wrong;
        assert!(
            harness
                .scheduler
                .can_run(&spec)
                .unwrap_err()
                .starts_with("shape")
        );
    }
}

/// Guards against jobs that keep running, or are placed, where their account is no longer permitted.
#[test]
fn withdrawn_place_stops_running_jobs() {
    let mut harness = Harness::new([("a", account(&["north/a"]))]);
    harness.announce_rack(1);
    let running = harness.submit("a", Class::Standard, gang(1, 4));
    harness.run_until_idle();
    harness.config.accounts["a"].places = vec!["north/b".parse().unwrap()];
    harness.configure();
    let queued = harness.submit("a", Class::Standard, gang(1, 4));
    let decisions = harness.decide();
    let stopped = |d: &Decision| matches!(d, Decision::Reclaim { job, reason: Reason::PlaceWithdrawn { .. } } if *job == running);
    assert!(decisions.iter().any(stopped), "{decisions:?}");
    harness.commit(decisions);
    harness.run_until_idle();
    assert_eq!(
        (harness.state(running), harness.state(queued)),
        (State::Queued, State::Queued)
    );
}

/// Guards against one account or class starving the others.
#[test]
fn shares_follow_weight_and_class() {
    let mut heavy = account(&["north"]);
    heavy.weight = 3;
    let mut harness = Harness::new([("heavy", heavy), ("light", account(&["north"]))]);
    for _ in 0..40 {
        harness.submit("light", Class::Standard, gang(1, 1));
        harness.submit("heavy", Class::Standard, gang(1, 1));
    }
    let urgent = harness.submit("light", Class::Urgent, gang(1, 1));
    harness.announce_rack(5);
    harness.run_until_idle();
    assert_eq!(harness.state(urgent), State::Running);
    let running = |name: &str| {
        let jobs = harness
            .jobs
            .iter()
            .filter(|job| job.state == State::Running);
        jobs.filter(|job| job.spec.account == name).count()
    };
    assert!(
        (28..=31).contains(&running("heavy")),
        "{}",
        running("heavy")
    );
    assert_eq!(running("heavy") + running("light"), 40);
}

/// Guards against sweeps that delay other jobs, and against sweeps that never run.
#[test]
fn sweeps_give_way_until_they_have_waited_long() {
    let mut harness = Harness::new([("a", account(&["north"]))]);
    harness.announce_rack(1);
    let sweep = harness.submit("a", Class::Sweep, gang(1, 8));
    harness.run_until_idle();
    let standard = harness.submit("a", Class::Standard, gang(1, 8));
    harness.run_until_idle();
    assert_eq!(
        (harness.state(sweep), harness.state(standard)),
        (State::Queued, State::Running)
    );
    harness.pass_time(Duration::from_secs(6 * 3600));
    let later = harness.submit("a", Class::Standard, gang(1, 8));
    harness.change(standard, State::Done);
    harness.run_until_idle();
    assert_eq!(
        (harness.state(sweep), harness.state(later)),
        (State::Running, State::Queued)
    );
}

/// Guards against a large gang that is starved by small jobs.
#[test]
fn starving_gang_gets_its_place() {
    let mut harness = Harness::new([("a", account(&["north"]))]);
    harness.announce_rack(1);
    let first = submit_non_repeatable(&mut harness, "a", gang(1, 4));
    harness.run_until_idle();
    let large = submit_non_repeatable(&mut harness, "a", gang(1, 8));
    harness.run_until_idle();
    harness.pass_time(Duration::from_secs(61));
    harness.run_until_idle();
    assert!(
        harness.explain(large).starts_with("reservation"),
        "{}",
        harness.explain(large)
    );
    let passing = submit_non_repeatable(&mut harness, "a", gang(1, 1));
    let backfilled = harness.submit("a", Class::Standard, gang(1, 1));
    harness.run_until_idle();
    assert_eq!(
        (harness.state(passing), harness.state(backfilled)),
        (State::Queued, State::Running)
    );
    harness.change(first, State::Done);
    harness.run_until_idle();
    assert_eq!(
        (harness.state(large), harness.state(backfilled)),
        (State::Running, State::Queued)
    );
}

/// Guards against unreported stragglers, and against relying on declared run times.
#[test]
fn straggler_is_judged_by_history() {
    let mut harness = Harness::new([("a", account(&["north"]))]);
    harness.announce_rack(1);
    for _ in 0..10 {
        let id = harness.submit("a", Class::Standard, gang(1, 1));
        harness.run_until_idle();
        harness.pass_time(Duration::from_secs(10));
        harness.change(id, State::Done);
    }
    let long = harness.submit("a", Class::Standard, gang(1, 1));
    harness.run_until_idle();
    harness.pass_time(Duration::from_secs(30));
    assert!(harness.decide().is_empty());
    harness.pass_time(Duration::from_secs(11));
    let decisions = harness.decide();
    let found = |d: &Decision| matches!(d, Decision::Straggler { job, .. } if *job == long);
    assert!(decisions.iter().any(found), "{decisions:?}");
}

fn fail_once(harness: &mut Harness, id: u64) -> String {
    let worker = harness.jobs[id as usize].attempt.as_ref().unwrap().members[0]
        .worker
        .clone();
    harness.observe(Event::TaskFailed {
        job: id,
        worker: worker.clone(),
    });
    harness.change(id, State::Stopping);
    harness.change(id, State::Queued);
    worker
}

/// Guards against a faulty worker that stays in service, and against blaming workers for a broken job.
#[test]
fn faulty_worker_is_distinguished_from_broken_job() {
    let mut harness = Harness::new([("a", account(&["north"]))]);
    harness.announce_rack(4);
    let broken = harness.submit("a", Class::Standard, gang(1, 1));
    for _ in 0..3 {
        harness.run_until_idle();
        assert_eq!(harness.state(broken), State::Running);
        harness.pass_time(Duration::from_secs(20));
        fail_once(&mut harness, broken);
        harness.pass_time(Duration::from_secs(20));
    }
    harness.run_until_idle();
    assert_eq!(harness.state(broken), State::Failed);

    let mut harness = Harness::new([("a", account(&["north"]))]);
    harness.announce(worker("bad", "a", "r0"));
    let jobs: Vec<_> = (0..3)
        .map(|_| harness.submit("a", Class::Standard, gang(1, 1)))
        .collect();
    harness.run_until_idle();
    for id in &jobs {
        assert_eq!(fail_once(&mut harness, *id), "bad");
    }
    harness.announce(worker("good", "a", "r0"));
    harness.pass_time(Duration::from_secs(2));
    harness.run_until_idle();
    harness.pass_time(Duration::from_secs(5));
    let quarantine = vec![Decision::Quarantine {
        worker: "bad".into(),
    }];
    assert_eq!(harness.decide(), quarantine);
    harness.pass_time(Duration::from_secs(60));
    assert_eq!(
        harness.decide(),
        vec![Decision::Probe {
            worker: "bad".into()
        }]
    );
}

/// Guards against unlimited attempts and against retries without a delay.
#[test]
fn attempts_are_bounded_and_spaced() {
    let mut harness = Harness::new([("a", account(&["north"]))]);
    harness.announce_rack(6);
    let id = harness.submit("a", Class::Standard, gang(1, 1));
    for attempt in 0..5 {
        harness.run_until_idle();
        assert_eq!(harness.state(id), State::Running, "attempt {attempt}");
        harness.change(id, State::Stopping);
        harness.change(id, State::Queued);
        assert!(
            harness.decide().is_empty(),
            "no pause after attempt {attempt}"
        );
        harness.pass_time(Duration::from_secs(20));
    }
    harness.run_until_idle();
    assert_eq!(harness.state(id), State::Failed);
}

/// Guards against placing cancelled jobs after a large number of cancellations.
#[test]
fn mass_cancellation_leaves_nothing_queued() {
    let mut harness = Harness::new([("a", account(&["north"]))]);
    let jobs: Vec<_> = (0..5000)
        .map(|_| harness.submit("a", Class::Sweep, gang(1, 1)))
        .collect();
    for id in jobs {
        harness.observe(Event::JobCancelled { job: id });
    }
    harness.announce_rack(4);
    assert!(harness.decide().is_empty());
}

/// Guards against a new leader that assigns accelerators that are in use.
#[test]
fn new_leader_rebuilds_from_jobs_and_workers() {
    let mut harness = Harness::new([("a", guaranteed(gang(1, 8), 1)), ("b", account(&["north"]))]);
    harness.announce_rack(2);
    let claim = harness.submit("a", Class::Urgent, gang(1, 8));
    harness.submit("b", Class::Standard, gang(1, 8));
    harness.run_until_idle();
    let waiting = harness.submit("b", Class::Standard, gang(1, 8));
    harness.scheduler = Scheduler::new(Settings::default());
    for job in harness.jobs.clone() {
        harness.observe(Event::JobAccepted(Box::new(job)));
    }
    harness.configure();
    harness.announce_rack(2);
    assert!(harness.decide().is_empty(), "{}", harness.explain(waiting));
    let proof = harness.scheduler.guaranteed_placements();
    assert_eq!((proof.len(), proof[0].job), (1, Some(claim)));
}

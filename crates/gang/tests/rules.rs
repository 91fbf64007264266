//! One test for each rule of the scheduler.

mod common;

use {
    common::{Bench, account, guarantee, shape, worker},
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

fn hard(bench: &mut Bench, account: &str, shape: Shape) -> u64 {
    let id = bench.submit(account, Class::Standard, shape);
    let spec = Spec {
        repeatable: false,
        ..bench.jobs[id as usize].spec.clone()
    };
    bench.change(id, State::Cancelled);
    bench.submit_spec(spec)
}

/// Guards against a claim that stops more work than needed or loses more than needed.
#[test]
fn claim_takes_the_cheapest_borrowed_work() {
    let mut bench = Bench::new([("a", guaranteed(gang(1, 8), 1)), ("b", account(&["north"]))]);
    bench.rack(2);
    let first = bench.submit("b", Class::Standard, gang(1, 8));
    bench.settle();
    let second = bench.submit("b", Class::Standard, gang(1, 8));
    bench.settle();
    for (id, since) in [(first, 50), (second, 400)] {
        let name = bench.jobs[id as usize].attempt.as_ref().unwrap().members[0]
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
        bench.observe(Event::WorkerAnnounced {
            worker,
            tasks: vec![task],
        });
    }
    let claim = bench.submit("a", Class::Urgent, gang(1, 8));
    let decisions = bench.decide();
    let reason = Reason::Claim { job: claim };
    assert_eq!(decisions, vec![Decision::Reclaim { job: first, reason }]);
    bench.commit(decisions);
    bench.settle();
    assert_eq!(bench.state(claim), State::Running);
    assert!(!bench.jobs[claim as usize].borrowed);
    assert_eq!(bench.state(second), State::Running);
}

/// Guards against borrowed work that cannot be stopped on the last place of a guarantee.
#[test]
fn admission_keeps_the_proof() {
    let mut bench = Bench::new([("a", guaranteed(gang(2, 8), 1)), ("b", account(&["north"]))]);
    bench.rack(2);
    let id = hard(&mut bench, "b", gang(1, 1));
    bench.settle();
    assert_eq!(bench.state(id), State::Queued);
    assert!(bench.why(id).starts_with("guarantee"), "{}", bench.why(id));
    let stoppable = bench.submit("b", Class::Standard, gang(1, 1));
    bench.settle();
    assert_eq!(bench.state(stoppable), State::Running);
}

/// Guards against a shortfall that is hidden, and against new borrowing beside it.
#[test]
fn lost_worker_is_owed_and_stops_borrowing() {
    let mut bench = Bench::new([("a", guaranteed(gang(2, 8), 1)), ("b", account(&["north"]))]);
    bench.rack(2);
    bench.settle();
    bench.observe(Event::WorkerLost {
        worker: "w1".into(),
    });
    let id = bench.submit("b", Class::Standard, gang(1, 1));
    let decisions = bench.decide();
    let [Decision::ShortfallsChanged { shortfalls }] = decisions.as_slice() else {
        panic!("{decisions:?}");
    };
    assert_eq!(
        (shortfalls[0].missing, &shortfalls[0].cause),
        (1, &Cause::ShapeTooLarge)
    );
    assert!(bench.why(id).starts_with("owed"), "{}", bench.why(id));
    bench.rack(2);
    bench.settle();
    assert!(bench.scheduler.shortfalls().is_empty());
    assert_eq!(bench.state(id), State::Running);
}

/// Guards against notes whose guarantees do not fit, and against a shortfall that blocks all notes.
#[test]
fn check_judges_what_a_note_adds() {
    let mut bench = Bench::new([("a", guaranteed(gang(2, 8), 1))]);
    bench.rack(2);
    bench.settle();
    let mut next = bench.config.clone();
    next.accounts.insert("b".into(), guaranteed(gang(1, 1), 1));
    let faults = bench.scheduler.check(&next).unwrap_err();
    assert_eq!((faults.len(), faults[0].missing), (1, 1), "{faults:?}");
    bench.observe(Event::WorkerLost {
        worker: "w1".into(),
    });
    bench.settle();
    let mut next = bench.config.clone();
    next.accounts.insert("c".into(), account(&["north"]));
    assert_eq!(bench.scheduler.check(&next), Ok(()));
}

/// Guards against jobs that wait for ever because no known worker could hold them.
#[test]
fn can_run_refuses_impossible_shapes() {
    let mut bench = Bench::new([("a", account(&["north"]))]);
    bench.rack(2);
    let id = bench.submit("a", Class::Standard, gang(1, 8));
    let mut spec = bench.jobs[id as usize].spec.clone();
    assert_eq!(bench.scheduler.can_run(&spec), Ok(()));
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
            bench
                .scheduler
                .can_run(&spec)
                .unwrap_err()
                .starts_with("shape")
        );
    }
}

/// Guards against work that stays in, or enters, a place that was withdrawn.
#[test]
fn withdrawn_place_stops_running_work() {
    let mut bench = Bench::new([("a", account(&["north/a"]))]);
    bench.rack(1);
    let running = bench.submit("a", Class::Standard, gang(1, 4));
    bench.settle();
    bench.config.accounts["a"].places = vec!["north/b".parse().unwrap()];
    bench.configure();
    let queued = bench.submit("a", Class::Standard, gang(1, 4));
    let decisions = bench.decide();
    let stopped = |d: &Decision| matches!(d, Decision::Reclaim { job, reason: Reason::PlaceWithdrawn { .. } } if *job == running);
    assert!(decisions.iter().any(stopped), "{decisions:?}");
    bench.commit(decisions);
    bench.settle();
    assert_eq!(
        (bench.state(running), bench.state(queued)),
        (State::Queued, State::Queued)
    );
}

/// Guards against one account or one class that holds up the others.
#[test]
fn shares_follow_weight_and_class() {
    let mut heavy = account(&["north"]);
    heavy.weight = 3;
    let mut bench = Bench::new([("heavy", heavy), ("light", account(&["north"]))]);
    for _ in 0..40 {
        bench.submit("light", Class::Standard, gang(1, 1));
        bench.submit("heavy", Class::Standard, gang(1, 1));
    }
    let urgent = bench.submit("light", Class::Urgent, gang(1, 1));
    bench.rack(5);
    bench.settle();
    assert_eq!(bench.state(urgent), State::Running);
    let running = |name: &str| {
        let jobs = bench.jobs.iter().filter(|job| job.state == State::Running);
        jobs.filter(|job| job.spec.account == name).count()
    };
    assert!(
        (28..=31).contains(&running("heavy")),
        "{}",
        running("heavy")
    );
    assert_eq!(running("heavy") + running("light"), 40);
}

/// Guards against sweeps that hold up other work, and against sweeps that never run.
#[test]
fn sweeps_give_way_until_they_have_waited_long() {
    let mut bench = Bench::new([("a", account(&["north"]))]);
    bench.rack(1);
    let sweep = bench.submit("a", Class::Sweep, gang(1, 8));
    bench.settle();
    let standard = bench.submit("a", Class::Standard, gang(1, 8));
    bench.settle();
    assert_eq!(
        (bench.state(sweep), bench.state(standard)),
        (State::Queued, State::Running)
    );
    bench.pass(Duration::from_secs(6 * 3600));
    let later = bench.submit("a", Class::Standard, gang(1, 8));
    bench.change(standard, State::Done);
    bench.settle();
    assert_eq!(
        (bench.state(sweep), bench.state(later)),
        (State::Running, State::Queued)
    );
}

/// Guards against a large gang that small work passes for ever.
#[test]
fn starving_gang_gets_its_place() {
    let mut bench = Bench::new([("a", account(&["north"]))]);
    bench.rack(1);
    let first = hard(&mut bench, "a", gang(1, 4));
    bench.settle();
    let large = hard(&mut bench, "a", gang(1, 8));
    bench.settle();
    bench.pass(Duration::from_secs(61));
    bench.settle();
    assert!(
        bench.why(large).starts_with("reservation"),
        "{}",
        bench.why(large)
    );
    let passing = hard(&mut bench, "a", gang(1, 1));
    let backfilled = bench.submit("a", Class::Standard, gang(1, 1));
    bench.settle();
    assert_eq!(
        (bench.state(passing), bench.state(backfilled)),
        (State::Queued, State::Running)
    );
    bench.change(first, State::Done);
    bench.settle();
    assert_eq!(
        (bench.state(large), bench.state(backfilled)),
        (State::Running, State::Queued)
    );
}

/// Guards against stragglers that nobody sees, and against trust in declared run times.
#[test]
fn straggler_is_judged_by_history() {
    let mut bench = Bench::new([("a", account(&["north"]))]);
    bench.rack(1);
    for _ in 0..10 {
        let id = bench.submit("a", Class::Standard, gang(1, 1));
        bench.settle();
        bench.pass(Duration::from_secs(10));
        bench.change(id, State::Done);
    }
    let long = bench.submit("a", Class::Standard, gang(1, 1));
    bench.settle();
    bench.pass(Duration::from_secs(30));
    assert!(bench.decide().is_empty());
    bench.pass(Duration::from_secs(11));
    let decisions = bench.decide();
    let found = |d: &Decision| matches!(d, Decision::Straggler { job, .. } if *job == long);
    assert!(decisions.iter().any(found), "{decisions:?}");
}

fn fail_once(bench: &mut Bench, id: u64) -> String {
    let worker = bench.jobs[id as usize].attempt.as_ref().unwrap().members[0]
        .worker
        .clone();
    bench.observe(Event::TaskFailed {
        job: id,
        worker: worker.clone(),
    });
    bench.change(id, State::Stopping);
    bench.change(id, State::Queued);
    worker
}

/// Guards against a worker that fails every task, and against blaming workers for a broken job.
#[test]
fn worker_at_fault_is_told_from_broken_job() {
    let mut bench = Bench::new([("a", account(&["north"]))]);
    bench.rack(4);
    let broken = bench.submit("a", Class::Standard, gang(1, 1));
    for _ in 0..3 {
        bench.settle();
        assert_eq!(bench.state(broken), State::Running);
        bench.pass(Duration::from_secs(20));
        fail_once(&mut bench, broken);
        bench.pass(Duration::from_secs(20));
    }
    bench.settle();
    assert_eq!(bench.state(broken), State::Failed);

    let mut bench = Bench::new([("a", account(&["north"]))]);
    bench.seen(worker("bad", "a", "r0"));
    let jobs: Vec<_> = (0..3)
        .map(|_| bench.submit("a", Class::Standard, gang(1, 1)))
        .collect();
    bench.settle();
    for id in &jobs {
        assert_eq!(fail_once(&mut bench, *id), "bad");
    }
    bench.seen(worker("good", "a", "r0"));
    bench.pass(Duration::from_secs(2));
    bench.settle();
    bench.pass(Duration::from_secs(5));
    let quarantine = vec![Decision::Quarantine {
        worker: "bad".into(),
    }];
    assert_eq!(bench.decide(), quarantine);
    bench.pass(Duration::from_secs(60));
    assert_eq!(
        bench.decide(),
        vec![Decision::Probe {
            worker: "bad".into()
        }]
    );
}

/// Guards against endless attempts and against retries without a pause.
#[test]
fn attempts_are_bounded_and_spaced() {
    let mut bench = Bench::new([("a", account(&["north"]))]);
    bench.rack(6);
    let id = bench.submit("a", Class::Standard, gang(1, 1));
    for attempt in 0..5 {
        bench.settle();
        assert_eq!(bench.state(id), State::Running, "attempt {attempt}");
        bench.change(id, State::Stopping);
        bench.change(id, State::Queued);
        assert!(
            bench.decide().is_empty(),
            "no pause after attempt {attempt}"
        );
        bench.pass(Duration::from_secs(20));
    }
    bench.settle();
    assert_eq!(bench.state(id), State::Failed);
}

/// Guards against cancelled jobs that are still placed after a wave of cancellations.
#[test]
fn cancellation_wave_leaves_nothing_queued() {
    let mut bench = Bench::new([("a", account(&["north"]))]);
    let jobs: Vec<_> = (0..5000)
        .map(|_| bench.submit("a", Class::Sweep, gang(1, 1)))
        .collect();
    for id in jobs {
        bench.observe(Event::JobCancelled { job: id });
    }
    bench.rack(4);
    assert!(bench.decide().is_empty());
}

/// Guards against a new leader that gives away what is held.
#[test]
fn new_leader_rebuilds_from_jobs_and_workers() {
    let mut bench = Bench::new([("a", guaranteed(gang(1, 8), 1)), ("b", account(&["north"]))]);
    bench.rack(2);
    let claim = bench.submit("a", Class::Urgent, gang(1, 8));
    bench.submit("b", Class::Standard, gang(1, 8));
    bench.settle();
    let waiting = bench.submit("b", Class::Standard, gang(1, 8));
    bench.scheduler = Scheduler::new(Settings::default());
    for job in bench.jobs.clone() {
        bench.observe(Event::JobAccepted(Box::new(job)));
    }
    bench.configure();
    bench.rack(2);
    assert!(bench.decide().is_empty(), "{}", bench.why(waiting));
    let proof = bench.scheduler.guaranteed_placements();
    assert_eq!((proof.len(), proof[0].job), (1, Some(claim)));
}

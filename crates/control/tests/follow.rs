//! The configuration lease: what a follower may use, and what the leader may claim.

use {
    control::{
        fault::{Fault, plant},
        follow::{Follower, Ledger},
    },
    model::config::Config,
    proptest::{
        prelude::*,
        test_runner::{self, RngAlgorithm, TestRng, TestRunner},
    },
    std::time::{Duration, Instant},
};

const LEASE: Duration = Duration::from_secs(5);

fn config(number: u64) -> Config {
    Config {
        number,
        ..Config::default()
    }
}

/// One step: a process asks, an answer arrives (in any order, late or never), a note is accepted, time
/// passes, the leader changes, or a process is started in place of another that goes on running.
#[derive(Clone, Debug)]
enum Op {
    Ask { process: usize },
    Receive { answer: usize, keep: bool },
    Note,
    Wait { ms: u64 },
    Elect,
    Replace { process: usize },
}

fn op() -> impl Strategy<Value = Op> {
    prop_oneof![
        5 => (0..4usize).prop_map(|process| Op::Ask { process }),
        5 => (0..8usize, proptest::bool::weighted(0.2)).prop_map(|(answer, keep)| Op::Receive { answer, keep }),
        2 => Just(Op::Note),
        4 => (0..3000u64).prop_map(|ms| Op::Wait { ms }),
        1 => Just(Op::Elect),
        1 => (0..4usize).prop_map(|process| Op::Replace { process }),
    ]
}

struct Process {
    id: (u64, u64),
    follower: Follower,
    highest: u64,
    /// Longest lease that any answer it received can stand for.
    bound: Option<Instant>,
}

struct Answer {
    process: usize,
    config: Config,
    sent: Instant,
}

fn check(ops: &[Op]) -> Result<(), TestCaseError> {
    let mut now = Instant::now();
    let (mut number, mut term, mut since) = (1, 1, now);
    let mut ledger = Ledger::default();
    let process = |id| Process {
        id,
        follower: Follower::default(),
        highest: 0,
        bound: None,
    };
    // Instance 1 has two processes: the first was replaced and still runs.
    let mut processes = vec![
        process((1, 1)),
        process((1, 2)),
        process((2, 1)),
        process((3, 1)),
    ];
    let mut answers: Vec<Answer> = Vec::new();
    ledger.enter(term);
    for op in ops {
        match *op {
            Op::Ask { process } => {
                let asked = &processes[process];
                ledger.grant(asked.id, asked.follower.number(), now, LEASE);
                answers.push(Answer {
                    process,
                    config: config(number),
                    sent: now,
                });
            }
            Op::Receive { answer, keep } => {
                if answers.is_empty() {
                    continue;
                }
                let at = answer % answers.len();
                let answer = &answers[at];
                let process = &mut processes[answer.process];
                process
                    .follower
                    .update(Some(answer.config.clone()), answer.sent, LEASE);
                let end = answer.sent + LEASE;
                process.bound = Some(process.bound.map_or(end, |bound| bound.max(end)));
                // An answer may be delivered again later.
                if !keep {
                    answers.remove(at);
                }
            }
            Op::Note => number += 1,
            Op::Wait { ms } => now += Duration::from_millis(ms),
            Op::Elect => {
                term += 1;
                since = now;
                ledger.enter(term);
            }
            Op::Replace { process } => {
                let old = &mut processes[process];
                old.id.1 += 10;
                (old.follower, old.highest, old.bound) = (Follower::default(), 0, None);
                answers.retain(|answer| answer.process != process);
            }
        }
        for process in &mut processes {
            let applied = process.follower.number();
            prop_assert!(applied >= process.highest, "the configuration went back");
            process.highest = applied;
            let end = now + process.follower.lease(now);
            prop_assert!(
                end == now || process.bound.is_some_and(|bound| end <= bound),
                "a lease longer than granted"
            );
        }
        let missing = ledger.missing(number, [1, 2, 3], since, LEASE, now);
        for process in &processes {
            let uses_older = process
                .follower
                .current(now)
                .is_some_and(|config| config.number < number);
            prop_assert!(
                !uses_older || missing.contains(&process.id.0),
                "{} claimed in force while {:?} uses {}",
                number,
                process.id,
                process.highest
            );
        }
    }
    Ok(())
}

fn explore(fault: Option<Fault>) -> Result<(), String> {
    let settings = test_runner::Config {
        cases: 1500,
        failure_persistence: None,
        ..test_runner::Config::default()
    };
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &[23; 32]);
    let mut runner = TestRunner::new_with_rng(settings, rng);
    plant(fault);
    let result = runner.run(&proptest::collection::vec(op(), 1..80), |ops| check(&ops));
    plant(None);
    result.map_err(|error| error.to_string())
}

/// Guards against a configuration that goes back, a lease longer than granted, and a number that is called
/// in force while a process may still use an older one, also right after a change of leader.
#[test]
fn delayed_and_repeated_answers_break_no_lease() {
    explore(None).unwrap();
}

/// Guards against checks that would not notice.
#[test]
fn planted_faults_are_found() {
    for fault in [Fault::FollowerGoesBack, Fault::PredecessorForgotten] {
        assert!(explore(Some(fault)).is_err(), "{fault:?} was not found");
    }
}

/// Guards against a new leader that takes the report of a restarted process for that of its predecessor,
/// which may still run under a lease of the former leader.
#[test]
fn one_report_does_not_speak_for_an_earlier_process() {
    let now = Instant::now();
    let mut ledger = Ledger::default();
    ledger.enter(2);
    ledger.grant((1, 2), 7, now, LEASE);
    assert_eq!(ledger.missing(7, [1], now, LEASE, now), [1]);
    let later = now + LEASE + LEASE / 20;
    ledger.grant((1, 2), 7, later, LEASE);
    assert!(ledger.missing(7, [1], now, LEASE, later).is_empty());
}

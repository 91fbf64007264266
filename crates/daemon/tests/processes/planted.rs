//! Tests of the history checker: each planted violation must be found, and only that one.

use {
    super::history::{Drain, GONE_LIMIT, Gone, History, Outcome, Run, Try, Violation, check},
    std::time::Duration,
};

fn at(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// A run without violations: requests 0 to 15 on two upstreams of two slots, odd ones keyed.
fn sound() -> History {
    let mut history = History {
        slots: 2,
        ..History::default()
    };
    for request in 0..16 {
        let began = 100 * (request / 4) + 10;
        history.tries.push(Try {
            request,
            number: 0,
            keyed: request % 2 == 1,
            instance: (request % 3) as usize,
            sent: at(began - 10),
            ended: at(began + 100),
            outcome: Outcome::Whole {
                status: 200,
                request: Some(request),
                sound: true,
            },
        });
        history.runs.push(Run {
            request,
            number: 0,
            upstream: (request / 2 % 2) as usize,
            began: at(began),
            ended: Some(at(began + 100)),
        });
    }
    history
}

/// Guards against a checker that reports what is allowed: ends and beginnings at one instant, a repeated
/// idempotent request, work sent to a leaving upstream within the limit, and requests cut before a drain.
#[test]
fn a_sound_history_has_no_violation() {
    let mut history = sound();
    assert_eq!(check(&history), vec![]);
    let mut again = history.runs[0].clone();
    (again.began, again.ended) = (at(5000), None);
    history.runs.push(again);
    history.gone.push(Gone {
        upstream: 0,
        at: at(5000) - GONE_LIMIT,
        limit: GONE_LIMIT,
    });
    history.tries[0].outcome = Outcome::Broken("closed".into());
    history.drains.push(Drain {
        instance: 0,
        told: history.tries[0].ended + at(1),
        ended: at(9000),
    });
    history.tries[2].outcome = Outcome::Unknown(504);
    assert_eq!(check(&history), vec![]);
}

/// Guards against a checker that misses more requests at once than an upstream has slots, also when one
/// never ends.
#[test]
fn an_overrun_is_found() {
    for ended in [None, Some(at(60))] {
        let mut history = sound();
        history.runs.push(Run {
            request: 0,
            number: 0,
            upstream: 1,
            began: at(50),
            ended,
        });
        let expected = Violation::Overrun {
            upstream: 1,
            running: 3,
        };
        assert_eq!(check(&history), vec![expected]);
    }
}

/// Guards against a checker that misses work sent to a departed or silent upstream.
#[test]
fn work_for_a_gone_upstream_is_found() {
    let mut history = sound();
    let last = history.runs.last().unwrap().began;
    history.gone.push(Gone {
        upstream: 1,
        at: last - at(50),
        limit: at(49),
    });
    let expected = Violation::SentToGone {
        upstream: 1,
        after: at(50),
    };
    assert_eq!(check(&history), vec![expected.clone(), expected]);
}

/// Guards against a checker that misses a second run of a key, by a resend or by the instance itself.
#[test]
fn a_second_run_of_a_key_is_found() {
    for number in [0, 1] {
        let mut history = sound();
        history.runs.push(Run {
            request: 3,
            number,
            upstream: 0,
            began: at(5000),
            ended: None,
        });
        assert_eq!(check(&history), vec![Violation::RanTwice { request: 3 }]);
    }
}

/// Guards against a checker that misses a run of a try that was answered "not run".
#[test]
fn a_run_despite_not_run_is_found() {
    let mut history = sound();
    history.tries[4].outcome = Outcome::NotRun(503);
    let expected = Violation::RanDespiteNo {
        request: 4,
        number: 0,
    };
    assert_eq!(check(&history), vec![expected]);
    // The run of a later try is allowed.
    history.runs[4].number = 1;
    assert_eq!(check(&history), vec![]);
}

/// Guards against a checker that misses answers of other requests, short answers that end normally, and
/// answers to requests that never ran.
#[test]
fn wrong_answers_are_found() {
    let whole = |request, sound| Outcome::Whole {
        status: 200,
        request,
        sound,
    };
    let mut history = sound();
    history.tries[5].outcome = whole(Some(6), true);
    let expected = Violation::Foreign {
        request: 5,
        got: Some(6),
    };
    assert_eq!(check(&history), vec![expected]);
    history.tries[5].outcome = whole(Some(5), false);
    assert_eq!(check(&history), vec![Violation::Damaged { request: 5 }]);
    history.tries[5].outcome = whole(Some(5), true);
    history.runs.remove(5);
    assert_eq!(check(&history), vec![Violation::Invented { request: 5 }]);
}

/// Guards against a checker that misses a request cut by a graceful shutdown.
#[test]
fn an_interrupted_request_is_found() {
    for outcome in [
        Outcome::Broken("closed".into()),
        Outcome::Late,
        Outcome::Unknown(503),
    ] {
        let mut history = sound();
        history.drains.push(Drain {
            instance: 1,
            told: at(50),
            ended: at(200),
        });
        history.tries[7].outcome = outcome.clone();
        let expected = Violation::Interrupted {
            request: 7,
            outcome,
        };
        assert_eq!(check(&history), vec![expected]);
    }
}

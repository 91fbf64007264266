//! Applying notes against stand-in instances.

mod common;

use {
    cli::Exit,
    common::{Act, Files, NOTE, Stand, down, error, not_run, run},
    serde_json::{Value, json},
};

fn accepted() -> Act {
    Act::Answer(
        200,
        json!({ "outcome": "accepted", "number": 1 }).to_string(),
    )
}

fn apply(instances: &[&str], more: &[&str]) -> common::Ran {
    let files = Files::new();
    let file = files.write("note.jsonc", NOTE);
    run(
        instances,
        &[&["note", "apply", &file, "--expected", "0"], more].concat(),
    )
}

/// Guards against a resend under a new key, which would be a second submission.
#[test]
fn resends_the_same_submission_after_a_lost_answer() {
    for loss in [
        Act::Lose,
        Act::Silent,
        Act::Cut("{\"outcome\":\"accepted\"}".into()),
    ] {
        let first = Stand::start(vec![loss]);
        let second = Stand::start(vec![accepted()]);
        let ran = apply(&[&first.address, &second.address], &[]);
        assert_eq!(ran.exit, Exit::Done, "{ran:?}");
        assert!(ran.out.contains("accepted as configuration 1"));
        let (sent, resent) = (first.seen(), second.seen());
        assert_eq!(sent.len(), 1);
        assert_eq!(sent, resent);
        let submission: Value = serde_json::from_str(&sent[0].body).unwrap();
        assert_eq!(submission["expected"], 0);
        assert_eq!(submission["key"].as_str().unwrap().len(), 32);
    }
}

/// Guards against "nothing was changed" after a lost answer, even when another instance says "not
/// run" later, and against an outcome that the operator cannot settle.
#[test]
fn reports_an_unknown_outcome_with_the_command_that_settles_it() {
    let first = Stand::start(vec![Act::Lose, not_run("no leader")]);
    let second = Stand::start(vec![not_run("no leader")]);
    let ran = apply(&[&first.address, &second.address], &["--key", "k-1"]);
    assert_eq!(ran.exit, Exit::Unknown, "{ran:?}");
    assert!(!ran.err.contains("nothing was changed"), "{}", ran.err);
    assert!(ran.err.contains("--expected 0 --key k-1"), "{}", ran.err);
}

/// Guards against giving up at an instance that has lost its leader or is down.
#[test]
fn tries_the_next_instance() {
    for first in [
        not_run("the leader is a2"),
        error(503, "x"),
        error(500, "x"),
        error(302, "x"),
    ] {
        let first = Stand::start(vec![first]);
        let second = Stand::start(vec![accepted()]);
        let ran = apply(&[&down(), &first.address, &second.address], &[]);
        assert_eq!(ran.exit, Exit::Done, "{ran:?}");
        assert_eq!(first.seen().len(), 1, "redirections are not followed");
    }
}

/// Guards against mixing up "not run", "unreachable" and "unknown".
#[test]
fn tells_apart_why_no_instance_helped() {
    let refusing = Stand::start(vec![not_run("no quorum")]);
    let ran = apply(&[&refusing.address, &down()], &[]);
    assert_eq!(ran.exit, Exit::Refused, "{ran:?}");
    assert!(ran.err.contains("nothing was changed"));
    let ran = apply(&[&down(), &down()], &[]);
    assert_eq!(ran.exit, Exit::Unreachable, "{ran:?}");
    let failing = Stand::start(vec![error(500, "x")]);
    assert_eq!(apply(&[&failing.address], &[]).exit, Exit::Unknown);
    let babbling = Stand::answers(200, "{}");
    assert_eq!(apply(&[&babbling.address], &[]).exit, Exit::Unknown);
}

/// Guards against a conflict that is resent, and against one that does not say what came first.
#[test]
fn reports_a_conflict_once() {
    let body =
        json!({ "outcome": "conflict", "number": 3, "winner": "k-9", "summary": "Add osprey" });
    let stand = Stand::answers(409, body.to_string());
    let other = Stand::start(vec![accepted()]);
    let ran = apply(&[&stand.address, &other.address], &[]);
    assert_eq!(ran.exit, Exit::Conflict, "{ran:?}");
    for part in ["number 3, not 0", "k-9", "Add osprey", "--expected 3"] {
        assert!(ran.err.contains(part), "{part}: {}", ran.err);
    }
    assert!(other.seen().is_empty());
    let reused = Stand::answers(409, json!({ "outcome": "key-reused" }).to_string());
    assert_eq!(apply(&[&reused.address], &[]).exit, Exit::Conflict);
}

/// Guards against a refusal by the leader that does not point into the file.
#[test]
fn points_at_the_line_of_a_refusal() {
    let fault = "`reed.guarantees.night` cannot be proved on the known workers";
    let body = json!({ "outcome": "refused", "faults": [fault] });
    let stand = Stand::answers(422, body.to_string());
    let ran = apply(&[&stand.address], &[]);
    assert_eq!(ran.exit, Exit::Refused, "{ran:?}");
    assert!(
        ran.err
            .contains("note.jsonc:8: error: `reed.guarantees.night`"),
        "{}",
        ran.err
    );
}

/// Guards against a wait that ends early, is silent, or has no end.
#[test]
fn waits_until_the_note_is_in_force() {
    let force = |in_force: bool, missing: &[&str]| {
        let body = json!({ "number": 1, "in_force": in_force, "missing": missing });
        Act::Answer(200, body.to_string())
    };
    let stand = Stand::start(vec![accepted(), force(false, &["a5"]), force(true, &[])]);
    let ran = apply(&[&stand.address], &["--wait"]);
    assert_eq!(ran.exit, Exit::Done, "{ran:?}");
    assert!(ran.err.contains("missing: a5"));
    assert!(ran.out.contains("in force everywhere"));
    assert_eq!(stand.seen()[1].line, "GET /v1/notes/1/force");

    let stand = Stand::start(vec![accepted(), force(false, &["a5"])]);
    let ran = apply(&[&stand.address], &["--wait", "--within", "0.1"]);
    assert_eq!(ran.exit, Exit::Unknown, "{ran:?}");
    assert!(ran.err.contains("stays accepted"), "{}", ran.err);
}

/// Guards against a silent instance that costs its time limit at each call of a command.
#[test]
fn keeps_to_the_instance_that_answered() {
    let force = json!({ "number": 1, "in_force": true, "missing": [] });
    let silent = Stand::start(vec![Act::Silent]);
    let stand = Stand::start(vec![accepted(), Act::Answer(200, force.to_string())]);
    let ran = apply(&[&silent.address, &stand.address], &["--wait"]);
    assert_eq!(ran.exit, Exit::Done, "{ran:?}");
    assert_eq!((silent.seen().len(), stand.seen().len()), (1, 2));
}

/// Guards against a faulty note reaching an instance.
#[test]
fn checks_before_it_sends() {
    let stand = Stand::start(vec![accepted()]);
    let files = Files::new();
    let file = files.write("note.jsonc", NOTE.replace("0.99", "99"));
    let ran = run(
        &[&stand.address],
        &["note", "apply", &file, "--expected", "0"],
    );
    assert_eq!(ran.exit, Exit::Refused);
    assert!(stand.seen().is_empty());
}

/// Guards against "refused" when the first send was lost: an instance may refuse a resend for what it
/// knows now before it looks for the key.
#[test]
fn does_not_call_a_refused_resend_refused() {
    let outcome = json!({ "outcome": "refused", "faults": ["no workers"] }).to_string();
    for refusal in [
        Act::Answer(422, outcome),
        error(422, "no workers"),
        error(400, "no workers"),
    ] {
        let lost = Stand::start(vec![Act::Lose]);
        let stand = Stand::start(vec![refusal.clone()]);
        let ran = apply(&[&lost.address, &stand.address], &[]);
        assert_eq!(ran.exit, Exit::Unknown, "{ran:?}");
        assert!(ran.err.contains("no workers"), "{}", ran.err);
        let ran = apply(&[&down(), &stand.address], &[]);
        assert_eq!(ran.exit, Exit::Refused, "{ran:?}");
    }
}

//! Reports of job transitions for service levels.

use {
    control::jobs::{Findings, Observer},
    model::job::{Job, State},
    serde_json::json,
    std::{
        sync::{Arc, Mutex},
        time::Duration,
    },
};

#[derive(Default)]
struct Seen(Mutex<Vec<String>>);

impl Observer for Seen {
    fn started(&self, job: &Job) {
        self.0.lock().unwrap().push(format!("started {}", job.id));
    }

    fn ended(&self, job: &Job, started: bool) {
        let line = format!("ended {} {:?} {started}", job.id, job.state);
        self.0.lock().unwrap().push(line);
    }
}

fn job(id: u64, state: State, starts: u32) -> Job {
    let spec = json!({
        "account": "reed", "key": id.to_string(), "shape": { "tasks": 1, "accelerators": 1 }
    });
    Job {
        id,
        spec: serde_json::from_value(spec).unwrap(),
        state,
        attempt: None,
        starts,
        cancelled: false,
        borrowed: false,
        detail: String::new(),
        submitted_ms: 0,
        changed_ms: 0,
    }
}

fn findings() -> (Arc<Seen>, Findings) {
    let seen = Arc::new(Seen::default());
    (seen.clone(), Findings::new(seen))
}

fn lines(seen: &Seen) -> Vec<String> {
    seen.0.lock().unwrap().clone()
}

/// Guards against a start that is counted again when the job runs again after its gang was stopped.
#[test]
fn reports_the_first_run_only() {
    let (seen, findings) = findings();
    for (state, starts) in [
        (State::Starting, 1),
        (State::Running, 1),
        (State::Stopping, 1),
        (State::Queued, 1),
        (State::Starting, 2),
        (State::Running, 2),
        (State::Done, 2),
    ] {
        findings.moved(&job(7, state, starts));
    }
    assert_eq!(lines(&seen), ["started 7", "ended 7 Done true"]);
}

/// Guards against a start that is lost when the first attempt did not come to run.
#[test]
fn reports_the_run_after_a_failed_start() {
    let (seen, findings) = findings();
    for (state, starts) in [
        (State::Starting, 1),
        (State::Stopping, 1),
        (State::Starting, 2),
        (State::Running, 2),
    ] {
        findings.moved(&job(7, state, starts));
    }
    assert_eq!(lines(&seen), ["started 7"]);
}

/// Guards against a job without any run that counts as started.
#[test]
fn tells_whether_an_ended_job_ran() {
    let (seen, findings) = findings();
    findings.moved(&job(1, State::Failed, 0));
    findings.moved(&job(2, State::Starting, 1));
    findings.moved(&job(2, State::Unknown, 1));
    assert_eq!(
        lines(&seen),
        ["ended 1 Failed false", "ended 2 Unknown false"]
    );
}

/// Guards against a second report of a start that another leader saw while this replica followed.
#[test]
fn forgets_failed_starts_with_the_leadership() {
    let (seen, findings) = findings();
    findings.moved(&job(7, State::Starting, 1));
    findings.reset();
    // Another leader has seen the job run in its second attempt.
    findings.moved(&job(7, State::Running, 3));
    assert_eq!(lines(&seen), Vec::<String>::new());
    // A start that the other leader committed, but did not carry through, is the first one.
    findings.moved(&job(8, State::Running, 1));
    assert_eq!(lines(&seen), ["started 8"]);
}

/// Guards against a quarantine that outlives its end or the leadership that decided it.
#[test]
fn keeps_quarantines_until_they_end() {
    let (_, findings) = findings();
    findings.quarantine("w1", true);
    findings.quarantine("w2", true);
    findings.quarantine("w1", false);
    assert!(!findings.is_quarantined("w1") && findings.is_quarantined("w2"));
    findings.owe(2);
    findings.reset();
    assert!(!findings.is_quarantined("w2"));
    assert_eq!(findings.owed(), 0);
}

/// Guards against a job that is refused for good because the leader judged it by an older configuration than
/// the instance that accepted the submission.
#[tokio::test]
async fn waits_for_the_configuration_of_the_asker() {
    let (_, findings) = findings();
    findings.configured(4);
    assert!(findings.wait_configured(4, Duration::ZERO).await);
    assert!(!findings.wait_configured(5, Duration::ZERO).await);
    let waiting = findings.wait_configured(5, Duration::from_secs(60));
    let (reached, ()) = tokio::join!(waiting, async { findings.configured(5) });
    assert!(reached);
    // A new leadership begins without a configuration.
    findings.reset();
    assert!(!findings.wait_configured(1, Duration::ZERO).await);
}

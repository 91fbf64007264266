//! The report on service levels.

use {
    super::cluster::{Cluster, LIMIT},
    http::Method,
    serde_json::{Value, json},
    std::time::{Duration, Instant},
    tokio::time,
};

/// Bound of the objectives, which no event exceeds.
const DAY_MS: u64 = 86_400_000;

const POLL: Duration = Duration::from_millis(50);

/// A job or a leader that would be reported again is seen again within this time: a new leader takes up all
/// jobs within a second and settles after 1.5 s.
const AGAIN: Duration = Duration::from_secs(4);

/// `[good, bad]` of each objective.
fn counts(report: &Value) -> Vec<[u64; 2]> {
    let lines = report["lines"].as_array().cloned().unwrap_or_default();
    let count = |line: &Value, key: &str| line[key].as_u64().unwrap_or_default();
    lines
        .iter()
        .map(|line| [count(line, "good"), count(line, "bad")])
        .collect()
}

fn note() -> Value {
    let objective = |class: &str, measure: &str| json!({ "class": class, "measure": measure, "within_ms": DAY_MS, "target": 0.9 });
    json!({ "summary": "first", "add": { "reed": {
        "places": ["north"],
        "objectives": [
            objective("standard", "job-start"),
            objective("standard", "job-completion"),
            objective("short", "answer"),
            objective("short", "admission"),
        ],
    }}})
}

/// Runs one job to its end.
async fn run_job(cluster: &Cluster) {
    let spec = json!({
        "account": "reed", "key": "one", "payload": "run_ms=100",
        "shape": { "tasks": 2, "accelerators": 8 }
    });
    let start = Instant::now();
    // A new leader does not accept jobs before it knows the workers; a resend has the same key.
    let id = loop {
        let answer = cluster.post(3, "/v1/jobs", &spec).await;
        let answer = answer.map_or(Value::Null, |answer| answer.json());
        if let Some(id) = answer["id"].as_str() {
            break id.to_owned();
        }
        assert!(start.elapsed() < LIMIT, "{answer}");
        time::sleep(POLL).await;
    };
    cluster
        .until(2, &format!("/v1/jobs/{id}"), |answer| {
            answer.json()["job"]["state"] == "done"
        })
        .await;
}

/// Sends requests through one instance until one is answered.
async fn run_request(cluster: &Cluster, index: usize) {
    let headers = [("x-client-account", "reed"), ("x-service", "fit")];
    let address = cluster.deployment.requests()[index];
    let start = Instant::now();
    loop {
        let call = cluster.client.call(address, Method::GET, "/", &headers, "");
        if call.await.is_ok_and(|answer| answer.status == 200) {
            return;
        }
        assert!(start.elapsed() < LIMIT);
        time::sleep(POLL).await;
    }
}

/// Guards against events that are lost between the request path or the job controllers and the report,
/// against jobs that a new leader counts again, and against instances that are left out unnamed.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn merges_the_counts_of_all_instances() {
    let mut cluster = Cluster::spawn(4, 3).await;
    let _platform = cluster.platform(1, 1).await;
    let outcome = cluster.submit("first", 0, &note()).await;
    assert_eq!(outcome["outcome"], "accepted", "{outcome}");
    for index in 0..4 {
        cluster
            .until(index, "/v1/config", |answer| answer.json()["number"] == 1)
            .await;
    }
    run_job(&cluster).await;
    run_request(&cluster, 1).await;
    run_request(&cluster, 3).await;
    for index in 0..4 {
        // Requests before the upstream was known were refused and are bad, so the good ones are compared.
        let answer = cluster
            .until(index, "/v1/report", |answer| {
                let good: Vec<u64> = counts(&answer.json()).iter().map(|c| c[0]).collect();
                good == [1, 1, 2, 2]
            })
            .await
            .json();
        assert_eq!(counts(&answer)[..2], [[1, 0], [1, 0]], "{answer}");
        assert_eq!(answer["sources"].as_array().unwrap().len(), 4, "{answer}");
    }
    let leader = cluster.leader(0, "north").await;
    cluster.kill(leader);
    // The killed leader took its counts with it, so a job that is counted now is counted again.
    let other = 3;
    cluster
        .until(other, "/v1/jobs", |answer| {
            answer.json()[0]["job"]["state"] == "done"
        })
        .await;
    time::sleep(AGAIN).await;
    let report = cluster
        .until(other, "/v1/report", |answer| answer.status == 200)
        .await
        .json();
    let named = format!("no counts from a{}: ", leader + 1);
    assert!(report["remarks"].to_string().contains(&named), "{report}");
    assert_eq!(report["sources"].as_array().unwrap().len(), 3, "{report}");
    assert_eq!(counts(&report)[..2], [[0, 0], [0, 0]], "{report}");
}

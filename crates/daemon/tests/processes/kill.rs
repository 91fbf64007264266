use {
    super::{cluster::Cluster, operators::Operators},
    http::Method,
    rustix::process::Signal,
    serde_json::{Value, json},
    std::time::Duration,
    tokio::time,
};

fn spec(key: &str) -> Value {
    json!({
        "account": "firm-a", "key": key, "repeatable": true,
        "shape": { "tasks": 2, "accelerators": 4 },
        "payload": "run_ms=1500",
    })
}

/// Guards against an acknowledged note, job or keyed answer that is lost when any one of seven processes is
/// killed: the leader, another control instance, and one without a disk.
#[tokio::test(flavor = "multi_thread")]
async fn killing_any_one_process_loses_nothing() {
    let mut cluster = Cluster::spawn(7, 3).await;
    let platform = cluster.platform(2, 2).await;
    cluster.first_note().await;
    let leader = cluster.leader(0, "config").await;
    let follower = (leader + 1) % 3;
    for victim in [leader, follower, 5] {
        let survivor = (0..3).find(|index| *index != victim).unwrap();
        let operators = Operators::spawn(&cluster, 3);
        let mut jobs = Vec::new();
        for number in 0..4 {
            let key = format!("job-{victim}-{number}");
            jobs.push(cluster.submit_job(&spec(&key), 6).await);
        }
        let key = format!("order-{victim}");
        let first = keyed(&cluster, 4, &key).await;
        time::sleep(Duration::from_millis(500)).await;
        cluster.kill(victim);
        time::sleep(Duration::from_millis(2500)).await;
        let again = keyed(&cluster, 6, &key).await;
        assert_eq!(first, again, "the resend got another answer");
        let runs: u64 = platform.upstreams.iter().map(|u| u.executions(&key)).sum();
        assert_eq!(runs, 1, "the keyed request ran {runs} times");
        for id in &jobs {
            let path = format!("/v1/jobs/{id}");
            let answer = cluster
                .until(survivor, &path, |answer| {
                    matches!(
                        answer.json()["job"]["state"].as_str(),
                        Some("done" | "failed" | "unknown" | "cancelled")
                    )
                })
                .await;
            assert_eq!(answer.json()["job"]["state"], "done", "{}", answer.json());
        }
        let acknowledged = operators.check(&cluster, survivor).await;
        assert!(
            acknowledged > 0,
            "no note was acknowledged around the kill of {victim}"
        );
        cluster.start(victim, false);
        cluster
            .until(victim, "/ready", |answer| answer.status == 200)
            .await;
        cluster.voters(survivor, 3).await;
    }
}

/// Sends a keyed request through one instance until it is answered.
async fn keyed(cluster: &Cluster, index: usize, key: &str) -> Vec<u8> {
    let headers = [
        ("x-client-account", "firm-a"),
        ("x-service", "fit"),
        ("x-deadline-ms", "3000"),
        ("idempotency-key", key),
    ];
    let address = cluster.deployment.requests()[index];
    for _ in 0..600 {
        let answer = cluster
            .client
            .call(address, Method::POST, "/order", &headers, "x")
            .await;
        match answer {
            Ok(answer) if answer.status == 200 => return answer.body.to_vec(),
            Ok(answer) => {
                let ran = answer
                    .headers
                    .get("x-ran")
                    .and_then(|ran| ran.to_str().ok());
                assert_eq!(ran, Some("no"), "{}", answer.json());
            }
            Err(error) => panic!("{error}"),
        }
        time::sleep(Duration::from_millis(100)).await;
    }
    panic!("the keyed request was never answered");
}

/// Guards against a paused leader that answers stale reads, or whose return takes an acknowledged note back
/// or makes a number go back.
#[tokio::test(flavor = "multi_thread")]
async fn a_paused_leader_takes_nothing_back() {
    let cluster = Cluster::spawn(4, 3).await;
    cluster.first_note().await;
    let operators = Operators::spawn(&cluster, 4);
    for _ in 0..2 {
        let leader = cluster.leader(0, "config").await;
        cluster.signal(leader, Signal::STOP);
        time::sleep(Duration::from_secs(7)).await;
        cluster.signal(leader, Signal::CONT);
        time::sleep(Duration::from_secs(2)).await;
    }
    let acknowledged = operators.check(&cluster, 0).await;
    assert!(acknowledged > 0, "no note was acknowledged");
}

/// Guards against a cut-off instance that goes on admitting after its configuration lease, and against a
/// note that is never in force because of it.
#[tokio::test(flavor = "multi_thread")]
async fn a_silent_instance_delays_a_note_by_its_lease_only() {
    let cluster = Cluster::spawn(4, 3).await;
    cluster.first_note().await;
    cluster.signal(3, Signal::STOP);
    let note = json!({ "summary": "second", "change": { "firm-a": { "weight": 3 } } });
    let outcome = cluster.submit("second", 1, &note).await;
    assert_eq!(outcome["number"], 2, "{outcome}");
    let start = std::time::Instant::now();
    // The others report the number within a second; the silent one holds the note back.
    let only = |missing: &Value| *missing == json!(["a4"]);
    cluster
        .until(0, "/v1/notes/2/force", |answer| {
            only(&answer.json()["missing"])
        })
        .await;
    cluster
        .until(0, "/v1/notes/2/force", |answer| {
            answer.json()["in_force"] == true
        })
        .await;
    let bound = Duration::from_secs(10);
    assert!(
        start.elapsed() < bound,
        "in force after {:?}",
        start.elapsed()
    );
    cluster.signal(3, Signal::CONT);
    // The first answers after the pause are either refusals or the new number.
    for _ in 0..50 {
        if let Ok(answer) = cluster.get(3, "/v1/config").await
            && answer.status == 200
        {
            assert_eq!(
                answer.json()["number"],
                2,
                "the paused instance showed an old number"
            );
        }
    }
}

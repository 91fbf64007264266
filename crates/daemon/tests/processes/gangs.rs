use {
    super::cluster::Cluster,
    fake::platform::Platform,
    rand::{RngExt, SeedableRng, rngs::StdRng},
    serde_json::{Value, json},
    std::{
        collections::{BTreeMap, BTreeSet},
        time::{Duration, Instant},
    },
    tokio::time,
};

/// Jobs of one run.
const JOBS: usize = 60;

/// Longest time from the last fault until every job has ended.
const END_LIMIT: Duration = Duration::from_secs(120);

/// An accepted job and what its caller asked for.
struct Accepted {
    id: String,
    tasks: usize,
    repeatable: bool,
    fails: bool,
    /// Outcome of its cancellation, if one was acknowledged.
    cancelled: Option<String>,
}

async fn note(cluster: &Cluster) {
    let shape = json!({ "tasks": 4, "accelerators": 4, "adjacency": "rack" });
    let note = json!({
        "summary": "two accounts, one with a guarantee",
        "add": {
            "firm-a": { "places": ["north"] },
            "firm-b": {
                "places": ["north"],
                "guarantees": { "half-rack": { "shape": shape, "place": "north" } },
            },
        },
    });
    let outcome = cluster.submit("gangs", 0, &note).await;
    assert_eq!(outcome["outcome"], "accepted", "{outcome}");
    for index in 0..cluster.deployment.len() {
        cluster
            .until(index, "/v1/config", |answer| answer.json()["number"] == 1)
            .await;
    }
}

fn spec(rng: &mut StdRng, number: usize) -> (Value, usize, bool, bool) {
    let guaranteed = number % 8 == 7;
    let (account, class) = if guaranteed {
        ("firm-b", "urgent")
    } else {
        ("firm-a", "standard")
    };
    let tasks = if guaranteed {
        4
    } else {
        rng.random_range(1..=6)
    };
    let accelerators = if guaranteed {
        4
    } else {
        [1, 2, 4][rng.random_range(0..3)]
    };
    let repeatable = !guaranteed && rng.random_bool(0.6);
    let fails = rng.random_bool(0.1);
    let run_ms = rng.random_range(200..2500);
    let spec = json!({
        "account": account, "key": format!("gang-{number}"), "class": class,
        "repeatable": repeatable, "max_attempts": 3,
        "shape": { "tasks": tasks, "accelerators": accelerators, "adjacency": "rack" },
        "payload": format!("run_ms={run_ms} fail={}", u8::from(fails)),
    });
    (spec, tasks, repeatable, fails)
}

/// Cancels a job; `None` if no outcome was acknowledged.
async fn cancel(cluster: &Cluster, id: &str, through: usize) -> Option<String> {
    let path = format!("/v1/jobs/{id}/cancel");
    let answer = cluster
        .post(through % cluster.deployment.len(), &path, &json!({}))
        .await
        .ok()?;
    let outcome = answer.json()["outcome"].as_str()?.to_owned();
    Some(outcome)
}

/// Runs of all workers: job number, token and tasks.
fn runs(platform: &Platform) -> BTreeMap<u64, BTreeMap<u64, Vec<u16>>> {
    let mut all: BTreeMap<u64, BTreeMap<u64, Vec<u16>>> = BTreeMap::new();
    for worker in &platform.workers {
        for (job, token, task) in worker.tasks().runs() {
            all.entry(*job)
                .or_default()
                .entry(*token)
                .or_default()
                .push(*task);
        }
    }
    all
}

/// Guards against a gang that runs in part, a non-repeatable job that runs twice, a cancelled job that runs
/// although its caller was told that it will not, and a job that is lost, when the controller is killed in
/// the middle of starts, reclaims and cancellations and workers fail.
#[tokio::test(flavor = "multi_thread")]
async fn a_killed_controller_leaves_no_gang_partial_and_no_job_lost() {
    let mut cluster = Cluster::spawn(4, 3).await;
    let platform = cluster.platform(3, 0).await;
    note(&cluster).await;
    let seed = std::env::var("TREFOILVALVE_SEED").map_or(7, |seed| seed.parse().unwrap());
    println!("seed {seed}");
    let mut rng = StdRng::seed_from_u64(seed);
    let mut accepted: Vec<Accepted> = Vec::new();
    for number in 0..JOBS {
        let (spec, tasks, repeatable, fails) = spec(&mut rng, number);
        let id = cluster.submit_job(&spec, number).await;
        accepted.push(Accepted {
            id,
            tasks,
            repeatable,
            fails,
            cancelled: None,
        });
        if rng.random_bool(0.25) {
            let victim = rng.random_range(0..accepted.len());
            let job = &mut accepted[victim];
            if job.cancelled.is_none() {
                job.cancelled = cancel(&cluster, &job.id, number).await;
            }
        }
        // A worker that fails everything for a while.
        platform.workers[0]
            .tasks()
            .fail_all((10..30).contains(&number));
        if number == 35 {
            platform.workers[5].kill();
        }
        if number % 15 == 14 {
            let leader = cluster.leader(number / 15 % 3, "north").await;
            cluster.kill(leader);
            time::sleep(Duration::from_millis(300)).await;
            cluster.start(leader, false);
        }
        time::sleep(Duration::from_millis(rng.random_range(0..150))).await;
    }
    check(&cluster, &platform, &accepted).await;
}

async fn check(cluster: &Cluster, platform: &Platform, accepted: &[Accepted]) {
    let start = Instant::now();
    let mut ended: BTreeMap<String, Value> = BTreeMap::new();
    while ended.len() < accepted.len() {
        assert!(
            start.elapsed() < END_LIMIT,
            "jobs without an end: {:?}",
            open(cluster, accepted, &ended).await
        );
        let answer = cluster
            .until(3, "/v1/jobs", |answer| answer.status == 200)
            .await;
        for view in answer.json().as_array().unwrap() {
            let state = view["job"]["state"].as_str().unwrap();
            if matches!(state, "done" | "failed" | "cancelled" | "unknown") {
                let id = view["id"].as_str().unwrap().to_owned();
                ended.insert(id, view["job"].clone());
            }
        }
        time::sleep(Duration::from_millis(100)).await;
    }
    let runs = runs(platform);
    let mut states: BTreeMap<&str, usize> = BTreeMap::new();
    for job in accepted {
        let view = &ended[&job.id];
        *states.entry(view["state"].as_str().unwrap()).or_default() += 1;
        let number: u64 = job.id.rsplit('-').next().unwrap().parse().unwrap();
        let tokens = runs.get(&number).cloned().unwrap_or_default();
        verify(job, view, &tokens);
    }
    println!("ended after {:?} as {states:?}", start.elapsed());
}

fn verify(job: &Accepted, view: &Value, tokens: &BTreeMap<u64, Vec<u16>>) {
    let state = view["state"].as_str().unwrap();
    let id = &job.id;
    if !job.repeatable {
        assert!(
            tokens.len() <= 1,
            "{id} is not repeatable and ran under {tokens:?}"
        );
    }
    for (token, tasks) in tokens {
        let distinct: BTreeSet<_> = tasks.iter().collect();
        assert_eq!(
            distinct.len(),
            tasks.len(),
            "{id} ran a task twice under token {token}"
        );
    }
    match state {
        "done" => {
            let whole = tokens.values().any(|tasks| tasks.len() == job.tasks);
            assert!(
                whole && !job.fails,
                "{id} is done but ran as {tokens:?}: {view}"
            );
        }
        "unknown" => assert!(!job.repeatable, "{id} is repeatable and unknown: {view}"),
        "cancelled" => assert!(
            job.cancelled.is_some() || view["cancelled"] == true,
            "{view}"
        ),
        _ => assert!(
            !view["detail"].as_str().unwrap().is_empty(),
            "{id} failed without a reason"
        ),
    }
    match job.cancelled.as_deref() {
        Some("not-run") => {
            assert!(
                tokens.is_empty(),
                "{id} was cancelled as not run but ran as {tokens:?}"
            );
            assert_eq!(state, "cancelled", "{view}");
        }
        Some("while-running") => assert_eq!(state, "cancelled", "{view}"),
        _ => {}
    }
    let starts = view["starts"].as_u64().unwrap();
    assert!(
        tokens.len() as u64 <= starts,
        "{id} ran {} times of {starts} starts",
        tokens.len()
    );
}

/// What the jobs without an end wait for.
async fn open(
    cluster: &Cluster,
    accepted: &[Accepted],
    ended: &BTreeMap<String, Value>,
) -> Vec<String> {
    let mut lines = Vec::new();
    for job in accepted
        .iter()
        .filter(|job| !ended.contains_key(&job.id))
        .take(8)
    {
        let path = format!("/v1/jobs/{}/why", job.id);
        let line = cluster
            .get(3, &path)
            .await
            .map(|answer| answer.json()["line"].clone());
        lines.push(format!("{}: {line:?}", job.id));
    }
    lines
}

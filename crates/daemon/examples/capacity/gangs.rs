use {
    super::{Result, cluster::Cluster, load::site, sample, stats},
    fake::platform::Platform,
    serde_json::{Value, json},
    std::time::{Duration, Instant},
    tokio::time,
};

/// Racks of four stand-in workers with eight accelerators each.
const RACKS: usize = 12;

/// Urgent jobs of each measurement.
const URGENT: usize = 100;

/// Longest wait for the start of a job.
const LIMIT: Duration = Duration::from_secs(30);

/// Cost against the number of running gangs.
pub async fn running() -> Result<()> {
    for (count, tasks, accelerators) in [(0, 3, 1), (20, 3, 1), (100, 3, 1), (20, 2, 8), (5, 64, 1)]
    {
        let cluster = Cluster::spawn(8).await?;
        cluster.accounts(77).await?;
        let platform = Platform::spawn(&site(), RACKS, 0, &cluster.deployment.api()).await?;
        cluster.workers(platform.workers.len()).await?;
        for number in 0..count {
            let shape =
                json!({ "tasks": tasks, "accelerators": accelerators, "adjacency": "data-centre" });
            submit(
                &cluster,
                &spec(&format!("firm-{}", number % 77), number, "standard", shape),
            )
            .await?;
        }
        await_running(&cluster, count).await?;
        let spans: usize = platform
            .workers
            .iter()
            .map(|w| holders(w.tasks().runs()))
            .sum();
        time::sleep(Duration::from_secs(5)).await;
        let costs = sample::measure(&cluster, 3, Duration::from_secs(8)).await?;
        let title = format!(
            "{count} gangs of {tasks} tasks of {accelerators} accelerators on {spans} gang-workers,"
        );
        sample::report(&cluster, &title, &costs).await?;
    }
    Ok(())
}

/// Gangs that run on one worker.
fn holders(runs: &[(u64, u64, u16)]) -> usize {
    let mut jobs: Vec<u64> = runs.iter().map(|(job, _, _)| *job).collect();
    jobs.sort_unstable();
    jobs.dedup();
    jobs.len()
}

fn spec(account: &str, number: usize, class: &str, shape: Value) -> Value {
    json!({
        "account": account, "key": format!("{class}-{number}"), "class": class, "repeatable": true,
        "shape": shape, "payload": if class == "urgent" { "run_ms=300" } else { "run_ms=3600000" },
    })
}

async fn submit(cluster: &Cluster, spec: &Value) -> Result<u64> {
    let start = Instant::now();
    loop {
        let answer = cluster.post(4, "/v1/jobs", spec).await?;
        if answer.status == 201 {
            let id = answer.json()["job"]["id"].as_u64();
            return id.ok_or_else(|| "the job has no id".into());
        }
        if start.elapsed() > LIMIT {
            return Err(answer.json().to_string().into());
        }
        time::sleep(Duration::from_millis(20)).await;
    }
}

async fn await_running(cluster: &Cluster, count: usize) -> Result<()> {
    cluster
        .until(0, "/v1/jobs?state=running", |answer| {
            answer
                .json()
                .as_array()
                .is_some_and(|all| all.len() >= count)
        })
        .await?;
    Ok(())
}

/// Time from the submission of an urgent job, inside its account's guarantee, until all its tasks run.
pub async fn urgent() -> Result<()> {
    let cluster = Cluster::spawn(8).await?;
    let platform = Platform::spawn(&site(), RACKS, 0, &cluster.deployment.api()).await?;
    cluster.workers(platform.workers.len()).await?;
    cluster.accounts(4).await?;
    let shape = json!({ "tasks": 4, "accelerators": 8, "adjacency": "rack" });
    let guarantee = json!({ "shape": shape, "place": "north" });
    let note = json!({ "summary": "guarantee", "change": { "firm-1": { "guarantees": { "rack": guarantee } } } });
    let outcome = cluster.submit("guarantee", 1, &note).await?;
    if outcome["outcome"] != "accepted" {
        return Err(outcome.to_string().into());
    }
    time::sleep(Duration::from_secs(3)).await;
    let idle = starts(&cluster, &platform, 0).await?;
    println!("urgent start on 48 idle workers: {}", stats::latency(&idle));
    for number in 0..RACKS * 4 {
        let shape = json!({ "tasks": 1, "accelerators": 8 });
        submit(&cluster, &spec("firm-2", number, "sweep", shape)).await?;
    }
    await_running(&cluster, RACKS * 4).await?;
    let busy = starts(&cluster, &platform, URGENT).await?;
    println!(
        "urgent start with 48 workers busy: {}",
        stats::latency(&busy)
    );
    Ok(())
}

async fn starts(cluster: &Cluster, platform: &Platform, first: usize) -> Result<Vec<Duration>> {
    let mut samples = Vec::new();
    for number in first..first + URGENT {
        let shape = json!({ "tasks": 4, "accelerators": 8, "adjacency": "rack" });
        let start = Instant::now();
        let id = submit(cluster, &spec("firm-1", number, "urgent", shape)).await?;
        let started = |platform: &Platform| {
            let workers = platform.workers.iter();
            workers
                .map(|worker| {
                    worker
                        .tasks()
                        .runs()
                        .iter()
                        .rev()
                        .take(8)
                        .filter(|(job, _, _)| *job == id)
                        .count()
                })
                .sum::<usize>()
        };
        while started(platform) < 4 {
            if start.elapsed() > LIMIT {
                return Err(format!("job {id} did not start").into());
            }
            time::sleep(Duration::from_millis(2)).await;
        }
        samples.push(start.elapsed());
        // The borrowed work takes the place again after the urgent job has ended.
        let path = format!("/v1/jobs/north-{id}");
        cluster
            .until(4, &path, |answer| answer.json()["job"]["state"] == "done")
            .await?;
        time::sleep(Duration::from_millis(50)).await;
    }
    Ok(samples)
}

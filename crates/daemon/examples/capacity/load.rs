use {
    super::{Result, client::post, cluster::Cluster, stats},
    fake::{client::Client, platform::Platform},
    http::Method,
    model::place::Site,
    serde_json::json,
    std::{
        future::Future,
        net::SocketAddr,
        time::{Duration, Instant},
    },
    tokio::{task::JoinSet, time},
};

/// Length of one measurement.
const WINDOW: Duration = Duration::from_secs(4);

/// Repetitions of each measurement.
const REPEATS: usize = 3;

/// Concurrent operators or callers.
const CONCURRENCY: [usize; 3] = [1, 16, 64];

/// Site of all stand-ins.
pub fn site() -> Site {
    Site {
        region: "north".into(),
        data_centre: "north-a".into(),
    }
}

/// Acknowledged notes a second; each operator changes its own account.
pub async fn notes() -> Result<()> {
    let cluster = Cluster::spawn(5).await?;
    cluster.accounts(64).await?;
    for count in CONCURRENCY {
        repeat(
            &format!("notes, {count} operators"),
            count,
            |turn, index| {
                operate(
                    cluster.client.clone(),
                    cluster.deployment.api(),
                    turn,
                    index,
                )
            },
        )
        .await?;
    }
    Ok(())
}

/// Runs `count` tasks for the window, several times, and prints rate and latency of what they did.
async fn repeat<F>(title: &str, count: usize, task: impl Fn(usize, usize) -> F) -> Result<()>
where
    F: Future<Output = Result<Vec<Duration>>> + Send + 'static,
{
    let mut rates = Vec::new();
    let mut all = Vec::new();
    for turn in 0..REPEATS {
        let mut tasks = JoinSet::new();
        let start = Instant::now();
        for index in 0..count {
            tasks.spawn(task(turn, index));
        }
        let mut done = 0;
        while let Some(result) = tasks.join_next().await {
            let samples = result??;
            done += samples.len();
            all.extend(samples);
        }
        rates.push(done as f64 / start.elapsed().as_secs_f64());
    }
    println!(
        "{title}: rate/s min/median/max {}; latency {}; load {}",
        stats::spread(&rates),
        stats::latency(&all),
        stats::load()
    );
    Ok(())
}

/// Submits notes with compare-and-set; the latency runs from the first attempt to the acceptance.
async fn operate(
    client: Client,
    api: Vec<SocketAddr>,
    turn: usize,
    index: usize,
) -> Result<Vec<Duration>> {
    let address = api[index % api.len()];
    let start = Instant::now();
    let mut samples = Vec::new();
    let mut expected = 1;
    let mut attempt = 0;
    let mut begin = Instant::now();
    while start.elapsed() < WINDOW {
        attempt += 1;
        let key = format!("{turn}-{index}-{attempt}-{}", api[0].port());
        let weight = attempt % 9 + 1;
        let note =
            json!({ "summary": key, "change": { format!("firm-{index}"): { "weight": weight } } });
        let body = json!({ "key": key, "expected": expected, "note": note });
        let Ok(answer) = post(&client, address, "/v1/notes", &body).await else {
            continue;
        };
        let outcome = answer.json();
        expected = outcome["number"].as_u64().unwrap_or(expected);
        if outcome["outcome"] == "accepted" {
            samples.push(begin.elapsed());
            begin = Instant::now();
        }
    }
    Ok(samples)
}

/// Accepted jobs a second, that fit but wait, so that only acceptance is measured.
pub async fn jobs() -> Result<()> {
    let cluster = Cluster::spawn(5).await?;
    let platform = Platform::spawn(&site(), 2, 0, &cluster.deployment.api()).await?;
    cluster.workers(platform.workers.len()).await?;
    cluster.accounts(64).await?;
    for count in CONCURRENCY {
        repeat(&format!("jobs, {count} callers"), count, |turn, index| {
            let api = cluster.deployment.api();
            let (client, address) = (cluster.client.clone(), api[index % api.len()]);
            async move {
                let start = Instant::now();
                let mut samples = Vec::new();
                for number in 0_u64.. {
                    if start.elapsed() >= WINDOW {
                        break;
                    }
                    let spec = json!({
                        "account": format!("firm-{index}"), "key": format!("{count}-{turn}-{number}"),
                        "class": "sweep", "shape": { "tasks": 4, "accelerators": 8, "adjacency": "rack" },
                        "payload": "run_ms=3600000",
                    });
                    let begin = Instant::now();
                    if let Ok(answer) = post(&client, address, "/v1/jobs", &spec).await
                        && answer.status == 201
                    {
                        samples.push(begin.elapsed());
                    }
                }
                Ok(samples)
            }
        })
        .await?;
    }
    Ok(())
}

/// Requests with a key a second: each is claimed in the region group before it is sent.
pub async fn claims() -> Result<()> {
    let cluster = Cluster::spawn(5).await?;
    let _platform = Platform::spawn(&site(), 0, 12, &cluster.deployment.api()).await?;
    cluster.accounts(64).await?;
    // Shares of slots follow demand only after a few reports.
    time::sleep(Duration::from_secs(5)).await;
    for (keyed, name) in [(false, "requests without key"), (true, "claims")] {
        for count in CONCURRENCY {
            repeat(&format!("{name}, {count} callers"), count, |turn, index| {
                let requests = cluster.deployment.requests();
                let (client, address) = (cluster.client.clone(), requests[index % requests.len()]);
                call(client, address, (count, turn, index), keyed)
            })
            .await?;
        }
    }
    Ok(())
}

async fn call(
    client: Client,
    address: SocketAddr,
    (count, turn, index): (usize, usize, usize),
    keyed: bool,
) -> Result<Vec<Duration>> {
    let account = format!("firm-{index}");
    let start = Instant::now();
    let mut samples = Vec::new();
    for number in 0_u64.. {
        if start.elapsed() >= WINDOW {
            break;
        }
        let key = format!("{count}-{turn}-{number}");
        let mut headers = vec![
            ("x-client-account", account.as_str()),
            ("x-service", "fit"),
            ("x-deadline-ms", "5000"),
        ];
        headers.push(if keyed {
            ("idempotency-key", key.as_str())
        } else {
            ("x-idempotent", "true")
        });
        let begin = Instant::now();
        let answer = client
            .call(address, Method::POST, "/order", &headers, "x")
            .await;
        match answer {
            Ok(answer) if answer.status == 200 => samples.push(begin.elapsed()),
            _ => time::sleep(Duration::from_millis(5)).await,
        }
    }
    Ok(samples)
}

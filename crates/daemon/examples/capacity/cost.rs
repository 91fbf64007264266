use {
    super::{Result, cluster::Cluster, load::site, sample},
    fake::{client::Client, platform::Platform},
    http::Method,
    model::{
        note::Submission,
        worker::{Announcement, Worker},
    },
    serde_json::json,
    std::time::{Duration, SystemTime},
    tokio::{task::JoinSet, time},
};

/// Length of one window; a processor share has a resolution of 0.1%.
const WINDOW: Duration = Duration::from_secs(8);

/// Windows of each measurement.
const WINDOWS: usize = 3;

/// Time for caches, shares and gossip to settle.
const WARM_UP: Duration = Duration::from_secs(5);

/// Instances that learn their first upstreams pull all entries for 10 s.
const PULLS: Duration = Duration::from_secs(15);

/// Cost without workers, upstreams and calls.
pub async fn idle() -> Result<()> {
    for count in [3, 5, 8] {
        let cluster = Cluster::spawn(count).await?;
        cluster.accounts(77).await?;
        time::sleep(WARM_UP).await;
        let costs = sample::measure(&cluster, WINDOWS, WINDOW).await?;
        sample::report(&cluster, &format!("idle, {count} instances,"), &costs).await?;
    }
    Ok(())
}

/// Cost against the number of workers, which announce in turn to all instances.
pub async fn workers() -> Result<()> {
    let sizes = [(24, 1), (48, 1), (96, 1), (200, 1), (810, 1), (810, 5)];
    for (count, seconds) in sizes {
        let cluster = Cluster::spawn(8).await?;
        cluster.accounts(77).await?;
        let mut tasks = JoinSet::new();
        for index in 0..count {
            tasks.spawn(announce(cluster.client.clone(), index, seconds));
        }
        cluster.workers(count).await?;
        time::sleep(WARM_UP).await;
        let costs = sample::measure(&cluster, WINDOWS, WINDOW).await?;
        let title = format!("{count} workers each {seconds} s,");
        sample::report(&cluster, &title, &costs).await?;
    }
    Ok(())
}

/// Announces a worker that has no task.
async fn announce(client: Client, index: usize, seconds: u64) {
    let wall = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH);
    let mut announcement = Announcement {
        worker: Worker {
            name: format!("north-a-r{}-w{}", index / 8, index % 8),
            site: site(),
            rack: format!("r{}", index / 8),
            accelerators: 2,
            cpus: 32,
            memory_mb: 65_536,
            address: "127.0.0.1:9".into(),
        },
        sequence: wall.map_or(0, |elapsed| elapsed.as_millis() as u64),
        clock_ms: 0,
        tasks: Vec::new(),
    };
    time::sleep(Duration::from_micros(
        seconds * 1_000_000 * (index as u64 % 100) / 100,
    ))
    .await;
    loop {
        announcement.sequence += 1;
        announcement.clock_ms += seconds * 1000;
        client
            .send(Method::POST, "/v1/workers", &announcement, index)
            .await;
        time::sleep(Duration::from_secs(seconds)).await;
    }
}

/// Cost against the number of upstreams, without requests.
pub async fn upstreams() -> Result<()> {
    for count in [12, 48, 96] {
        let cluster = Cluster::spawn(8).await?;
        cluster.accounts(77).await?;
        let _platform = Platform::spawn(&site(), 0, count, &cluster.deployment.api()).await?;
        time::sleep(PULLS).await;
        let costs = sample::measure(&cluster, WINDOWS, WINDOW).await?;
        sample::report(&cluster, &format!("{count} upstreams,"), &costs).await?;
    }
    Ok(())
}

/// Bytes of one configuration and one note in the encodings that are sent.
pub async fn accounts() -> Result<()> {
    for count in [4, 77] {
        let cluster = Cluster::spawn(4).await?;
        cluster.accounts(count).await?;
        let config = cluster.get(0, "/v1/config").await?.body.len();
        let note = json!({ "key": "key", "expected": 1, "note": { "summary": "weight", "change": { "firm-1": { "weight": 3 } } } });
        let submission: Submission = serde_json::from_value(note)?;
        let note = serde_json::to_vec(&submission)?.len();
        println!(
            "{count} accounts: configuration {config} bytes, submission of one change {note} bytes"
        );
    }
    Ok(())
}

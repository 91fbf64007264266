use {
    super::{Result, cluster::Cluster, sample, stats},
    serde_json::json,
    std::time::{Duration, Instant},
    tokio::time,
};

/// Restarts of each measurement.
const RESTARTS: usize = 5;

/// Elections of the measurement.
const ELECTIONS: usize = 20;

/// Restart time and disk use after `changes` accepted notes.
pub async fn restart(changes: u64) -> Result<()> {
    let mut cluster = Cluster::spawn(4).await?;
    cluster.accounts(77).await?;
    let begin = Instant::now();
    let mut through = cluster.leader(0, "config", None).await?;
    let mut number = 1;
    while number <= changes {
        let account = format!("firm-{}", number % 77);
        let note = json!({ "summary": "change of a weight", "change": { account: { "weight": number % 9 + 1 } } });
        let body = json!({ "key": format!("change-{number}"), "expected": number, "note": note });
        let outcome = match cluster.post(through, "/v1/notes", &body).await {
            Ok(answer) => answer.json(),
            Err(_) => serde_json::Value::Null,
        };
        match outcome["outcome"].as_str() {
            Some("accepted") => number += 1,
            Some("conflict") => return Err(outcome.to_string().into()),
            _ => {
                time::sleep(Duration::from_millis(50)).await;
                through = (through + 1) % 3;
            }
        }
        if number % 10_000 == 0 {
            println!(
                "  {number} changes after {:.0} s, disk {} KB",
                begin.elapsed().as_secs_f64(),
                cluster.disk_bytes(0) / 1000
            );
        }
    }
    println!(
        "{changes} changes in {:.1} s",
        begin.elapsed().as_secs_f64()
    );
    let costs = sample::measure(&cluster, 1, Duration::from_secs(3)).await?;
    sample::report(&cluster, &format!("after {changes} changes,"), &costs).await?;
    for (index, name) in [(0, "control instance"), (3, "entry instance")] {
        let mut samples = Vec::new();
        for _ in 0..RESTARTS {
            cluster.kill(index)?;
            let start = Instant::now();
            cluster.start(index, false)?;
            cluster.ready(index).await?;
            samples.push(start.elapsed());
            cluster.voters((index + 1) % 3, 3).await?;
            time::sleep(Duration::from_secs(1)).await;
        }
        println!(
            "restart of a {name} after {changes} changes, SIGKILL to ready: {}",
            stats::latency(&samples)
        );
    }
    let costs = sample::measure(&cluster, 1, Duration::from_secs(3)).await?;
    sample::report(
        &cluster,
        &format!("after {changes} changes and restarts,"),
        &costs,
    )
    .await?;
    let disks: Vec<u64> = (0..3)
        .map(|index| cluster.disk_bytes(index) / 1000)
        .collect();
    println!("disk use after {changes} changes: {disks:?} KB");
    Ok(())
}

/// Time from SIGKILL of the config leader until another leads and until a note is acknowledged.
pub async fn election() -> Result<()> {
    let mut cluster = Cluster::spawn(4).await?;
    cluster.accounts(4).await?;
    let (mut elected, mut accepted) = (Vec::new(), Vec::new());
    for number in 1..=ELECTIONS {
        let victim = cluster.leader(2, "config", None).await?;
        let survivor = (victim + 1) % 3;
        cluster.kill(victim)?;
        let start = Instant::now();
        cluster.leader(survivor, "config", Some(victim)).await?;
        elected.push(start.elapsed());
        let note =
            json!({ "summary": "weight", "change": { "firm-1": { "weight": number % 9 + 1 } } });
        let body = json!({ "key": format!("turn-{number}"), "expected": number, "note": note });
        loop {
            let answer = cluster.post(survivor, "/v1/notes", &body).await;
            if let Ok(answer) = answer
                && answer.json()["outcome"] == "accepted"
            {
                break;
            }
            time::sleep(Duration::from_millis(5)).await;
        }
        accepted.push(start.elapsed());
        cluster.start(victim, false)?;
        cluster.ready(victim).await?;
        cluster.voters(survivor, 3).await?;
        cluster.leader(victim, "config", None).await?;
        time::sleep(Duration::from_millis(500)).await;
    }
    println!(
        "election after SIGKILL of the config leader: {}",
        stats::latency(&elected)
    );
    println!(
        "first acknowledged note after it: {}",
        stats::latency(&accepted)
    );
    Ok(())
}

use {
    super::{Result, cluster::Cluster, sample, stats},
    serde_json::{Value, json},
    std::{
        sync::{Arc, Mutex, PoisonError},
        time::{Duration, Instant},
    },
    tokio::time,
};

/// Notes of the measurement at the pace of 1,100 changes a day, which is one each 79 s.
const PACED: u64 = 60;

/// Shorter than the pace, yet long enough for each note to be in force before the next.
const PACE: Duration = Duration::from_millis(1370);

/// Notes of a burst.
const BURST: u64 = 200;

/// Accounts at the two-year size.
const ACCOUNTS: usize = 77;

/// Interval of the questions; the resolution of the figures.
const POLL: Duration = Duration::from_millis(10);

/// Time from acknowledgement until in force on eight instances, one note after the other.
pub async fn pace() -> Result<()> {
    let cluster = Cluster::spawn(8).await?;
    cluster.accounts(ACCOUNTS).await?;
    let mut samples = Vec::new();
    for number in 1..=PACED {
        let begin = Instant::now();
        accept(&cluster, number).await?;
        let acknowledged = Instant::now();
        while in_force(&cluster).await < number + 1 {
            time::sleep(POLL).await;
        }
        samples.push(acknowledged.elapsed());
        time::sleep(PACE.saturating_sub(begin.elapsed())).await;
    }
    println!(
        "in force on 8 instances, one note after the other: {}",
        stats::latency(&samples)
    );
    Ok(())
}

/// The same for notes that are acknowledged as fast as one operator can submit them.
pub async fn burst() -> Result<()> {
    let cluster = Cluster::spawn(8).await?;
    cluster.accounts(ACCOUNTS).await?;
    let mut all = Vec::new();
    for turn in 0..3 {
        let first = turn * BURST + 1;
        let acknowledged: Arc<Mutex<Vec<Instant>>> = Arc::default();
        let watch = async {
            let mut samples = Vec::new();
            while samples.len() < BURST as usize {
                let applied = in_force(&cluster).await;
                let now = Instant::now();
                let times = acknowledged
                    .lock()
                    .unwrap_or_else(PoisonError::into_inner)
                    .clone();
                let reached = applied.saturating_sub(first).min(times.len() as u64) as usize;
                let news = times.iter().take(reached).skip(samples.len());
                samples.extend(
                    news.map(|at| now.saturating_duration_since(*at))
                        .collect::<Vec<_>>(),
                );
                time::sleep(POLL).await;
            }
            Ok::<_, Box<dyn std::error::Error + Send + Sync>>(samples)
        };
        let submit = async {
            let begin = Instant::now();
            for number in first..first + BURST {
                accept(&cluster, number).await?;
                let mut times = acknowledged.lock().unwrap_or_else(PoisonError::into_inner);
                times.push(Instant::now());
            }
            Ok(begin.elapsed())
        };
        let cost = sample::measure(&cluster, 1, Duration::from_secs(2));
        let (samples, elapsed, costs) = futures::try_join!(watch, submit, cost)?;
        println!(
            "burst {turn} of {BURST} notes acknowledged in {:.0} ms, in force on 8 instances: {}",
            elapsed.as_secs_f64() * 1e3,
            stats::latency(&samples)
        );
        let sent: Vec<f64> = costs
            .iter()
            .map(|cost| stats::quantile(&cost.peers_kb, 0.5) * 2.0)
            .collect();
        println!(
            "  KB sent to peers per instance in the 2 s that begin with the burst: {sent:.0?}"
        );
        all.extend(samples);
    }
    println!("all bursts: {}", stats::latency(&all));
    Ok(())
}

async fn accept(cluster: &Cluster, expected: u64) -> Result<()> {
    let account = format!("firm-{}", expected as usize % ACCOUNTS);
    let note = json!({ "summary": format!("change {expected}"), "change": { account: { "weight": expected % 9 + 1 } } });
    let outcome = cluster
        .submit(&format!("change-{expected}"), expected, &note)
        .await?;
    if outcome["outcome"] == "accepted" {
        Ok(())
    } else {
        Err(outcome.to_string().into())
    }
}

/// Lowest number that the config leader knows to be applied by all instances.
async fn in_force(cluster: &Cluster) -> u64 {
    let Ok(answer) = cluster.get(1, "/v1/instances").await else {
        return 0;
    };
    let views = answer.json();
    let applied = |view: &Value| view["applied"].as_u64().unwrap_or(0);
    let all = views.as_array().map(|all| all.iter().map(applied).min());
    all.flatten().unwrap_or(0)
}

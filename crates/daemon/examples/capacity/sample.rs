use {
    super::{Result, cluster::Cluster, stats::spread},
    std::{collections::HashMap, fs, process::Command, time::Duration},
    tokio::time,
};

/// Ticks of `/proc/PID/stat` a second.
const TICKS: f64 = 100.0;

/// Headers of one segment: IPv4 and TCP with timestamps.
const HEADER_BYTES: f64 = 52.0;

/// What one process has used and sent so far.
#[derive(Clone, Copy, Debug, Default)]
struct Usage {
    ticks: f64,
    rss_mb: f64,
    /// To other instances, both calls and answers.
    peers: f64,
    /// Of these, to the other region.
    remote: f64,
    /// To workers and upstreams.
    orders: f64,
    /// Answers of the API.
    api: f64,
}

/// Costs of one instance over several windows.
#[derive(Clone, Debug, Default)]
pub struct Cost {
    pub cpu_percent: Vec<f64>,
    pub rss_mb: Vec<f64>,
    pub peers_kb: Vec<f64>,
    pub remote_kb: Vec<f64>,
    pub orders_kb: Vec<f64>,
    pub api_kb: Vec<f64>,
}

impl Cost {
    /// One line with minimum, median and maximum of each figure.
    pub fn line(&self) -> String {
        format!(
            "cpu%={} rss_MB={} sent_KB/s: peers={} (other region {}) orders={} api={}",
            spread(&self.cpu_percent),
            spread(&self.rss_mb),
            spread(&self.peers_kb),
            spread(&self.remote_kb),
            spread(&self.orders_kb),
            spread(&self.api_kb)
        )
    }
}

/// Measures every instance over `windows` windows.
pub async fn measure(cluster: &Cluster, windows: usize, length: Duration) -> Result<Vec<Cost>> {
    let mut costs = vec![Cost::default(); cluster.deployment.len()];
    let mut before = read(cluster)?;
    for _ in 0..windows {
        let start = time::Instant::now();
        time::sleep(length).await;
        let after = read(cluster)?;
        let seconds = start.elapsed().as_secs_f64();
        for (cost, (a, b)) in costs.iter_mut().zip(after.iter().zip(&before)) {
            let rate = |now: f64, then: f64| (now - then).max(0.0) / seconds;
            cost.cpu_percent
                .push(rate(a.ticks, b.ticks) / TICKS * 100.0);
            cost.rss_mb.push(a.rss_mb);
            cost.peers_kb.push(rate(a.peers, b.peers) / 1e3);
            cost.remote_kb.push(rate(a.remote, b.remote) / 1e3);
            cost.orders_kb.push(rate(a.orders, b.orders) / 1e3);
            cost.api_kb.push(rate(a.api, b.api) / 1e3);
        }
        before = after;
    }
    Ok(costs)
}

/// Prints the costs with the role of each instance.
pub async fn report(cluster: &Cluster, title: &str, costs: &[Cost]) -> Result<()> {
    let config = cluster.leader(0, "config", None).await?;
    let north = cluster.leader(0, "north", None).await?;
    for (index, cost) in costs.iter().enumerate() {
        let control = cluster.deployment.data(index).is_some();
        let roles = [
            (config == index).then_some("config-leader"),
            (north == index).then_some("region-leader"),
            control.then_some("control"),
            (!control).then_some("entry"),
        ];
        let roles: Vec<&str> = roles.into_iter().flatten().collect();
        println!(
            "{title} a{} {}: {}",
            index + 1,
            roles.join("+"),
            cost.line()
        );
    }
    Ok(())
}

fn read(cluster: &Cluster) -> Result<Vec<Usage>> {
    let pids = cluster.pids();
    let mut usages = Vec::new();
    for pid in &pids {
        let stat = fs::read_to_string(format!("/proc/{pid}/stat"))?;
        // The fields after the name, which ends with the last parenthesis, begin with the third.
        let fields: Vec<&str> = stat
            .rsplit_once(')')
            .map_or("", |(_, rest)| rest)
            .split_whitespace()
            .collect();
        let ticks = |at: usize| fields.get(at).and_then(|f| f.parse::<f64>().ok());
        let status = fs::read_to_string(format!("/proc/{pid}/status"))?;
        let rss = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
        let rss = rss.and_then(|rest| rest.split_whitespace().next()?.parse::<f64>().ok());
        usages.push(Usage {
            ticks: ticks(11).unwrap_or_default() + ticks(12).unwrap_or_default(),
            rss_mb: rss.unwrap_or_default() / 1024.0,
            ..Usage::default()
        });
    }
    add_sent(cluster, &pids, &mut usages)?;
    Ok(usages)
}

/// Adds what the kernel counts as sent on each open TCP socket (`ss -tinp`, fields `bytes_sent` and
/// `segs_out`): payload, retransmissions and headers. Sockets closed since the last reading are missing, and
/// a segment on loopback may be larger than on Ethernet, so the headers of large messages are undercounted.
fn add_sent(cluster: &Cluster, pids: &[u32], usages: &mut [Usage]) -> Result<()> {
    let output = Command::new("ss").args(["-tinpHO"]).output()?;
    let text = String::from_utf8_lossy(&output.stdout);
    let mut sockets = Vec::new();
    let mut owners = HashMap::new();
    for line in text.lines() {
        let owner = line
            .split_once("pid=")
            .and_then(|(_, rest)| rest.split(',').next()?.parse::<u32>().ok())
            .and_then(|pid| pids.iter().position(|own| *own == pid));
        let words: Vec<&str> = line.split_whitespace().collect();
        let (Some(owner), Some(local), Some(remote)) = (
            owner,
            words.get(3).and_then(port),
            words.get(4).and_then(port),
        ) else {
            continue;
        };
        let field = |name: &str| {
            let mut values = words.iter().filter_map(|word| word.strip_prefix(name));
            values.find_map(|value| value.parse::<f64>().ok())
        };
        let sent = field("bytes_sent:").unwrap_or_default()
            + field("segs_out:").unwrap_or_default() * HEADER_BYTES;
        owners.insert(local, owner);
        sockets.push((owner, local, remote, sent));
    }
    let api: Vec<u16> = cluster.deployment.api().iter().map(|a| a.port()).collect();
    for (owner, local, remote, sent) in sockets {
        let usage = &mut usages[owner];
        if api[owner] == local {
            usage.api += sent;
        } else if let Some(other) = owners.get(&remote) {
            usage.peers += sent;
            if region(*other) != region(owner) {
                usage.remote += sent;
            }
        } else {
            usage.orders += sent;
        }
    }
    Ok(())
}

fn port(word: &&str) -> Option<u16> {
    word.rsplit_once(':')?.1.parse().ok()
}

/// Second region in the layout of `fake::deployment`.
fn region(index: usize) -> bool {
    matches!(index, 3 | 5 | 6)
}

//! Requests per second through one entry, and its added latency against direct calls, in interleaved rounds.
//!
//! Arguments: rounds (5), connections (32), seconds per round and kind (1).

use {
    async_trait::async_trait,
    entry::{
        Answer, Begin, Claims, Configuration, Deps, Desk, Finished, Observer, Server, Settings,
    },
    fake::upstream::Upstream,
    model::{clock::System, config::Config, place::Site},
    route::{
        Event, Router,
        share::{Grant, Share},
    },
    std::{
        net::SocketAddr,
        sync::Arc,
        time::{Duration, Instant},
    },
    tokio::{
        io::{AsyncReadExt, AsyncWriteExt},
        net::TcpStream,
        task::JoinSet,
        time::sleep,
    },
};

const REGION: &str = "north";
const UPSTREAMS: usize = 4;
const SLOTS: u16 = 64;

struct Fixed(Arc<Config>);

impl Configuration for Fixed {
    fn current(&self) -> Option<Arc<Config>> {
        Some(self.0.clone())
    }
}

/// The measured requests are idempotent, so no claim is made.
struct NoClaims;

#[async_trait]
impl Claims for NoClaims {
    async fn begin(&self, _: &str, _: &str, _: u64) -> Begin {
        Begin::Unavailable
    }
    async fn sent(&self, _: &str, _: &str) {}
    async fn answer(&self, _: &str, _: &str, _: Answer) -> bool {
        false
    }
    async fn release(&self, _: &str, _: &str) -> bool {
        false
    }
    async fn lost(&self, _: &str, _: &str) -> bool {
        false
    }
}

struct Ignore;

impl Observer for Ignore {
    fn finished(&self, _: Finished) {}
}

fn site() -> Site {
    Site {
        region: REGION.into(),
        data_centre: "a".into(),
    }
}

fn feed(desk: &Desk, upstreams: &[Upstream], sequence: u64) {
    for upstream in upstreams {
        desk.observe(Event::Announced(upstream.announcement()));
    }
    let report = desk.with(|router, now| router.report(REGION, now));
    let shares = (0..UPSTREAMS).map(|index| Share {
        upstream: format!("u{index}"),
        slots: SLOTS,
    });
    desk.observe(Event::Granted(Grant {
        region: REGION.into(),
        instance: report.instance,
        boot: report.boot,
        term: 1,
        sequence,
        report: report.number,
        lease_ms: 3000,
        shares: shares.collect(),
    }));
}

/// Sends requests on one connection until `end`; returns the latencies.
async fn call(address: SocketAddr, end: Instant) -> std::io::Result<Vec<Duration>> {
    let mut stream = TcpStream::connect(address).await?;
    stream.set_nodelay(true)?;
    let body = [b'x'; 256];
    let mut request = format!(
        "PUT /work HTTP/1.1\r\nhost: t\r\nx-client-account: acme\r\nx-service: fit\r\n\
         content-length: {}\r\n\r\n",
        body.len()
    )
    .into_bytes();
    request.extend(body);
    let mut times = Vec::new();
    let mut part = vec![0; 4096];
    while Instant::now() < end {
        let start = Instant::now();
        stream.write_all(&request).await?;
        let mut answer: Vec<u8> = Vec::new();
        loop {
            let read = stream.read(&mut part).await?;
            if read == 0 {
                return Err(std::io::ErrorKind::UnexpectedEof.into());
            }
            answer.extend_from_slice(&part[..read]);
            let head = answer.windows(4).position(|four| four == b"\r\n\r\n");
            if head.is_some_and(|head| answer.len() >= head + 4 + body.len()) {
                break;
            }
        }
        if !answer.starts_with(b"HTTP/1.1 200") {
            return Err(std::io::Error::other(
                String::from_utf8_lossy(&answer).into_owned(),
            ));
        }
        times.push(start.elapsed());
    }
    Ok(times)
}

/// Requests per second and the p50 and p99 latency in microseconds.
async fn round(
    targets: &[SocketAddr],
    connections: usize,
    length: Duration,
) -> std::io::Result<(f64, f64, f64)> {
    let end = Instant::now() + length;
    let mut calls = JoinSet::new();
    for index in 0..connections {
        calls.spawn(call(targets[index % targets.len()], end));
    }
    let mut times = Vec::new();
    while let Some(result) = calls.join_next().await {
        times.extend(result.map_err(std::io::Error::other)??);
    }
    times.sort();
    let at = |fraction: f64| {
        let index = (times.len() as f64 * fraction) as usize;
        times
            .get(index)
            .map_or(0.0, |time| time.as_secs_f64() * 1e6)
    };
    Ok((times.len() as f64 / length.as_secs_f64(), at(0.5), at(0.99)))
}

fn median(mut values: Vec<f64>) -> f64 {
    values.sort_by(f64::total_cmp);
    values.get(values.len() / 2).copied().unwrap_or(0.0)
}

#[tokio::main(worker_threads = 4)]
async fn main() -> Result<(), Box<dyn std::error::Error>> {
    let mut arguments = std::env::args().skip(1).map(|text| text.parse::<usize>());
    let rounds = arguments.next().transpose()?.unwrap_or(5);
    let connections = arguments.next().transpose()?.unwrap_or(32);
    let length = Duration::from_secs(arguments.next().transpose()?.unwrap_or(1) as u64);
    let mut upstreams = Vec::new();
    for index in 0..UPSTREAMS {
        upstreams.push(Upstream::spawn(&format!("u{index}"), "fit", site(), SLOTS).await?);
    }
    let direct: Vec<SocketAddr> = upstreams.iter().map(Upstream::address).collect();
    let config = r#"{"number":1,"accounts":{"acme":{"places":["north"]}}}"#;
    let configuration = Arc::new(Fixed(Arc::new(serde_json::from_str(config)?)));
    let router = Router::new(route::Settings::new(1, 1, site()));
    let desk = Desk::new(router, Arc::new(System), configuration);
    feed(&desk, &upstreams, 1);
    let settings = Settings {
        // One instance may use all connections here.
        instances: 1,
        ..Settings::default()
    };
    let deps = Deps {
        desk: desk.clone(),
        claims: Arc::new(NoClaims),
        observer: Arc::new(Ignore),
        settings,
    };
    let server = Server::bind("127.0.0.1:0".parse()?, deps).await?;
    let through = [server.address()];
    tokio::spawn(async move {
        for sequence in 2.. {
            sleep(Duration::from_millis(500)).await;
            feed(&desk, &upstreams, sequence);
        }
    });
    round(&through, connections, length).await?;
    let mut results: [Vec<(f64, f64, f64)>; 2] = Default::default();
    for _ in 0..rounds {
        results[0].push(round(&direct, connections, length).await?);
        results[1].push(round(&through, connections, length).await?);
    }
    println!(
        "{rounds} interleaved rounds of {length:?}, {connections} connections, 256-byte bodies"
    );
    println!("  kind      requests/s    p50 [us]    p99 [us]   (medians of the rounds)");
    let mut table = Vec::new();
    for (kind, values) in ["direct", "entry"].into_iter().zip(&results) {
        let row = [
            median(values.iter().map(|value| value.0).collect()),
            median(values.iter().map(|value| value.1).collect()),
            median(values.iter().map(|value| value.2).collect()),
        ];
        println!(
            "  {kind:<8} {:>11.0} {:>11.0} {:>11.0}",
            row[0], row[1], row[2]
        );
        table.push(row);
    }
    let (p50, p99) = (table[1][1] - table[0][1], table[1][2] - table[0][2]);
    println!("  added               {p50:>11.0} {p99:>11.0}");
    Ok(())
}

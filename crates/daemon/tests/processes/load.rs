use {
    super::{
        cluster::Cluster,
        history::{Outcome, Run, Try},
    },
    fake::{
        client::{Answer, Client, Fault},
        upstream::Upstream,
    },
    http::Method,
    rand::{RngExt, SeedableRng, rngs::StdRng},
    std::{
        net::SocketAddr,
        sync::{
            Arc, Mutex,
            atomic::{AtomicBool, AtomicUsize, Ordering},
        },
        time::{Duration, Instant},
    },
    tokio::{task::JoinHandle, time},
};

/// Accounts with their share of the requests in percent.
pub const ACCOUNTS: [(&str, u32); 4] = [
    ("firm-a", 50),
    ("firm-b", 25),
    ("firm-c", 15),
    ("firm-d", 10),
];

/// Mean slot time of a request: four in five are short with 60 to 140 ms, the others batch with 200 to 600 ms.
pub const MEAN_SERVICE: Duration = Duration::from_millis(160);

const SHORT_DEADLINE: Duration = Duration::from_millis(1000);
const BATCH_DEADLINE: Duration = Duration::from_millis(5000);

/// Time past its deadline that a caller waits for an answer.
const PATIENCE: Duration = Duration::from_millis(300);

/// Times that a keyed request is sent again after a lost answer.
const RESENDS: u32 = 5;

/// Pause before a keyed request is sent again.
const RESEND_AFTER: Duration = Duration::from_millis(300);

/// Interval and time limit of the balancer's health checks.
const HEALTH_EVERY: Duration = Duration::from_millis(100);
const HEALTH_LIMIT: Duration = Duration::from_millis(500);

/// What a stand-in does with the answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Form {
    Sized,
    Chunked,
    /// Breaks off in the middle of the body.
    Part,
}

/// A request of the plan.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Planned {
    pub id: u64,
    pub at: Duration,
    pub account: &'static str,
    pub short: bool,
    pub keyed: bool,
    pub service: Duration,
    pub deadline: Duration,
    pub form: Form,
    body: Vec<u8>,
}

/// A stretch of the load with a constant rate in requests per second.
#[derive(Clone, Copy, Debug)]
pub struct Phase {
    pub rate: f64,
    pub length: Duration,
}

/// Draws the arrivals of all phases. One answer in `broken` breaks off, none if it is 0.
pub fn plan(seed: u64, phases: &[Phase], broken: u32) -> Vec<Planned> {
    let mut rng = StdRng::seed_from_u64(seed);
    let mut all = Vec::new();
    let mut start = 0.0;
    for phase in phases {
        let end = start + phase.length.as_secs_f64();
        let mut at: f64 = start;
        loop {
            at -= rng.random_range(f64::MIN_POSITIVE..1.0).ln() / phase.rate;
            if at >= end {
                break;
            }
            all.push(planned(
                &mut rng,
                all.len() as u64,
                Duration::from_secs_f64(at),
                broken,
            ));
        }
        start = end;
    }
    all
}

fn planned(rng: &mut StdRng, id: u64, at: Duration, broken: u32) -> Planned {
    let mut share = rng.random_range(0..100);
    let account = ACCOUNTS
        .iter()
        .find(|(_, part)| {
            let found = share < *part;
            share = share.saturating_sub(*part);
            found
        })
        .map_or(ACCOUNTS[0].0, |(name, _)| *name);
    let short = rng.random_range(0..5) > 0;
    let (least, most, deadline) = if short {
        (60, 140, SHORT_DEADLINE)
    } else {
        (200, 600, BATCH_DEADLINE)
    };
    let service = Duration::from_millis(rng.random_range(least..=most));
    let form = if broken > 0 && rng.random_range(0..broken) == 0 {
        Form::Part
    } else if rng.random_range(0..5) == 0 {
        Form::Chunked
    } else {
        Form::Sized
    };
    let length = rng.random_range(0..3000);
    Planned {
        id,
        at,
        account,
        short,
        keyed: rng.random_range(0..10) == 0,
        service,
        deadline,
        form,
        body: body(id, length),
    }
}

fn checksum(id: u64, padding: &[u8]) -> u64 {
    padding
        .iter()
        .fold(id ^ 0xcbf2_9ce4_8422_2325, |sum, byte| {
            (sum ^ u64::from(*byte)).wrapping_mul(0x0000_0100_0000_01b3)
        })
}

/// A body that states its request, the length of its padding and a checksum.
fn body(id: u64, length: usize) -> Vec<u8> {
    let padding: Vec<u8> = (0..length)
        .map(|index| b'a' + ((id as usize + index) % 26) as u8)
        .collect();
    let mut body = format!("{id} {length} {} ", checksum(id, &padding)).into_bytes();
    body.extend(padding);
    body
}

/// Reads a body of [`body`]: the request, if stated, and whether length and checksum fit.
fn read(body: &[u8]) -> (Option<u64>, bool) {
    let mut parts = body.splitn(4, |byte| *byte == b' ');
    let mut number = || std::str::from_utf8(parts.next()?).ok()?.parse::<u64>().ok();
    let (id, length, sum) = (number(), number(), number());
    let padding = parts.next().unwrap_or_default();
    let sound = id.is_some_and(|id| {
        length == Some(padding.len() as u64) && sum == Some(checksum(id, padding))
    });
    (id, sound)
}

/// Sends to every instance whose health check passes, in turn.
pub struct Balancer {
    addresses: Vec<SocketAddr>,
    healthy: Arc<Vec<AtomicBool>>,
    next: AtomicUsize,
    checks: Vec<JoinHandle<()>>,
}

impl Balancer {
    pub fn spawn(cluster: &Cluster) -> Balancer {
        let api = cluster.deployment.api();
        let healthy: Arc<Vec<_>> = Arc::new(api.iter().map(|_| AtomicBool::new(true)).collect());
        let checks = api.iter().enumerate().map(|(index, address)| {
            let (client, healthy, address) = (cluster.client.clone(), healthy.clone(), *address);
            tokio::spawn(async move {
                loop {
                    let answer = client
                        .call_within(HEALTH_LIMIT, address, Method::GET, "/ready", &[], "")
                        .await;
                    let ready = answer.is_ok_and(|answer| answer.status == 200);
                    healthy[index].store(ready, Ordering::Relaxed);
                    time::sleep(HEALTH_EVERY).await;
                }
            })
        });
        Balancer {
            addresses: cluster.deployment.requests(),
            checks: checks.collect(),
            healthy,
            next: AtomicUsize::new(0),
        }
    }

    fn pick(&self) -> usize {
        let count = self.addresses.len();
        let first = self.next.fetch_add(1, Ordering::Relaxed);
        (0..count)
            .map(|offset| (first + offset) % count)
            .find(|index| self.healthy[*index].load(Ordering::Relaxed))
            .unwrap_or(first % count)
    }
}

impl Drop for Balancer {
    fn drop(&mut self) {
        for check in &self.checks {
            check.abort();
        }
    }
}

/// A running load.
pub struct Load {
    pub start: Instant,
    pub plan: Arc<Vec<Planned>>,
    tries: Arc<Mutex<Vec<Try>>>,
    task: JoinHandle<()>,
}

impl Load {
    /// Sends each request of the plan at its time.
    pub fn spawn(cluster: &Cluster, plan: Vec<Planned>) -> Load {
        let balancer = Arc::new(Balancer::spawn(cluster));
        let start = Instant::now();
        let plan = Arc::new(plan);
        let tries = Arc::new(Mutex::new(Vec::new()));
        let caller = Caller {
            client: Client::new([]),
            balancer,
            start,
            tries: tries.clone(),
        };
        let requests = plan.clone();
        let task = tokio::spawn(async move {
            let mut calls = tokio::task::JoinSet::new();
            for request in requests.iter() {
                time::sleep_until((start + request.at).into()).await;
                calls.spawn(caller.clone().call(request.clone()));
            }
            calls.join_all().await;
        });
        Load {
            start,
            plan,
            tries,
            task,
        }
    }

    /// Sleeps until this time of the run.
    pub async fn until(&self, at: Duration) {
        time::sleep_until((self.start + at).into()).await;
    }

    /// Time of the run.
    pub fn now(&self) -> Duration {
        self.start.elapsed()
    }

    /// Waits for the end of every request and returns all tries.
    pub async fn finish(&mut self) -> Vec<Try> {
        (&mut self.task).await.unwrap();
        self.tries.lock().unwrap().clone()
    }

    /// What the upstreams recorded.
    pub fn runs(&self, upstreams: &[Arc<Upstream>]) -> Vec<Run> {
        let mut runs = Vec::new();
        for (upstream, stand_in) in upstreams.iter().enumerate() {
            for run in stand_in.runs() {
                let (request, number) = run.id.split_once('.').unwrap();
                runs.push(Run {
                    request: request.parse().unwrap(),
                    number: number.parse().unwrap(),
                    upstream,
                    began: run.began.duration_since(self.start),
                    ended: run.ended.map(|ended| ended.duration_since(self.start)),
                });
            }
        }
        runs
    }
}

#[derive(Clone)]
struct Caller {
    client: Client,
    balancer: Arc<Balancer>,
    start: Instant,
    tries: Arc<Mutex<Vec<Try>>>,
}

impl Caller {
    /// Sends a request until its outcome is known or it must not be sent again.
    async fn call(self, request: Planned) {
        let mut resends = 0;
        for number in 0.. {
            let instance = self.balancer.pick();
            let sent = self.start.elapsed();
            let outcome = self.send(&request, number, instance).await;
            let again = match &outcome {
                Outcome::Unreachable => number < RESENDS,
                Outcome::Unknown(_) | Outcome::Broken(_) | Outcome::Late if request.keyed => {
                    time::sleep(RESEND_AFTER).await;
                    resends += 1;
                    resends <= RESENDS
                }
                _ => false,
            };
            let ended = self.start.elapsed();
            self.tries.lock().unwrap().push(Try {
                request: request.id,
                number,
                keyed: request.keyed,
                instance,
                sent,
                ended,
                outcome,
            });
            if !again {
                return;
            }
        }
    }

    async fn send(&self, request: &Planned, number: u32, instance: usize) -> Outcome {
        let id = format!("{}.{number}", request.id);
        let key = format!("key-{}", request.id);
        let delay = request.service.as_millis().to_string();
        let deadline = request.deadline.as_millis().to_string();
        let mut headers = vec![
            ("x-client-account", request.account),
            ("x-service", "fit"),
            ("x-class", if request.short { "short" } else { "batch" }),
            ("x-deadline-ms", &deadline),
            ("x-fake-delay-ms", &delay),
            ("x-fake-id", &id),
        ];
        match request.form {
            Form::Sized => {}
            Form::Chunked => headers.push(("x-fake-form", "chunked")),
            Form::Part => headers.push(("x-fake-form", "part")),
        }
        let method = if request.keyed {
            headers.push(("idempotency-key", &key));
            Method::POST
        } else {
            Method::PUT
        };
        let answer = self
            .client
            .call_within(
                request.deadline + PATIENCE,
                self.balancer.addresses[instance],
                method,
                "/fit",
                &headers,
                request.body.clone(),
            )
            .await;
        match answer {
            Ok(answer) => outcome(&answer),
            Err(Fault::Unreachable) => Outcome::Unreachable,
            Err(Fault::Broken(error)) => Outcome::Broken(error),
            Err(Fault::Late) => Outcome::Late,
        }
    }
}

fn outcome(answer: &Answer) -> Outcome {
    match answer.headers.get("x-ran") {
        Some(ran) if ran == "no" => Outcome::NotRun(answer.status),
        Some(_) => Outcome::Unknown(answer.status),
        None => {
            let (request, sound) = read(&answer.body);
            Outcome::Whole {
                status: answer.status,
                request,
                sound,
            }
        }
    }
}

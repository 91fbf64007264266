use {
    super::{Cluster, Error},
    fake::{
        client::{Answer, Client},
        platform::Platform,
    },
    http::Method,
    model::place::Site,
    serde_json::{Value, json},
    std::{
        env,
        net::SocketAddr,
        process::{self, ExitCode},
        time::{Duration, Instant},
    },
    tokio::time,
};

/// The example note; it is also a file that `note check` accepts.
const NOTE: &str = include_str!("note.jsonc");

/// Longest wait for one step.
const STEP_LIMIT: Duration = Duration::from_secs(30);

/// Interval at which a step looks again.
const POLL: Duration = Duration::from_millis(50);

/// Runs the demonstration and returns the exit status of the command.
pub fn run() -> ExitCode {
    let runtime = match tokio::runtime::Runtime::new() {
        Ok(runtime) => runtime,
        Err(error) => {
            eprintln!("demo: cannot start: {error}");
            return ExitCode::FAILURE;
        }
    };
    match runtime.block_on(tell()) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("demo: {error}");
            ExitCode::FAILURE
        }
    }
}

/// A client with the addresses of the cluster.
struct Caller {
    client: Client,
    api: Vec<SocketAddr>,
    requests: Vec<SocketAddr>,
}

async fn tell() -> Result<(), Error> {
    let start = Instant::now();
    let folder = env::temp_dir().join(format!("trefoilvalve-demo-{}", process::id()));
    let mut cluster = Cluster::spawn(folder).await?;
    println!("started 7 instances in 2 regions; a1, a2 and a3 have disks and form the groups");
    let api = cluster.api();
    let site = Site {
        region: "north".into(),
        data_centre: "north-a".into(),
    };
    let platform = Platform::spawn(&site, 2, 4, &api).await?;
    println!("started 8 stand-in workers with 8 accelerators each and 4 stand-in upstreams");
    let caller = Caller {
        client: Client::new(api.clone()),
        api,
        requests: cluster.requests(),
    };
    caller.ready().await?;
    caller.note().await?;
    caller.bad_note().await?;
    caller.job().await?;
    caller.request().await?;
    caller.keyed_request(&platform).await?;
    cluster.shutdown().await;
    println!(
        "shut down; the whole demonstration took {} ms",
        start.elapsed().as_millis()
    );
    Ok(())
}

fn step(condition: bool, reason: impl FnOnce() -> String) -> Result<(), Error> {
    if condition {
        Ok(())
    } else {
        Err(Error::Step(reason()))
    }
}

fn note() -> Result<Value, Error> {
    jsonc_parser::parse_to_serde_value(NOTE, &jsonc_parser::ParseOptions::default())
        .map_err(|error| Error::Step(format!("the example note is malformed: {error}")))
}

fn text(value: &Value) -> &str {
    value.as_str().unwrap_or_default()
}

impl Caller {
    async fn get(&self, instance: usize, path: &str) -> Result<Answer, Error> {
        Ok(self
            .client
            .call(self.api[instance], Method::GET, path, &[], "")
            .await?)
    }

    async fn post(&self, instance: usize, path: &str, body: &Value) -> Result<Answer, Error> {
        let headers = [("content-type", "application/json")];
        let body = body.to_string();
        Ok(self
            .client
            .call(self.api[instance], Method::POST, path, &headers, body)
            .await?)
    }

    /// Repeats a question until the answer satisfies.
    async fn until(
        &self,
        what: &str,
        instance: usize,
        path: &str,
        satisfied: impl Fn(&Answer) -> bool,
    ) -> Result<Answer, Error> {
        let start = Instant::now();
        let mut last = String::new();
        while start.elapsed() < STEP_LIMIT {
            match self.get(instance, path).await {
                Ok(answer) if satisfied(&answer) => return Ok(answer),
                Ok(answer) => last = String::from_utf8_lossy(&answer.body).into_owned(),
                Err(error) => last = error.to_string(),
            }
            time::sleep(POLL).await;
        }
        Err(Error::Step(format!(
            "{what}: not seen within {} s; last: {last}",
            STEP_LIMIT.as_secs()
        )))
    }

    async fn ready(&self) -> Result<(), Error> {
        let start = Instant::now();
        for instance in 0..self.api.len() {
            self.until("instance ready", instance, "/ready", |answer| {
                answer.status == 200
            })
            .await?;
        }
        let workers = |answer: &Answer| answer.json().as_array().is_some_and(|all| all.len() == 8);
        self.until("workers announced", 6, "/v1/workers", workers)
            .await?;
        let members = |answer: &Answer| {
            let groups = answer.json()["groups"]
                .as_array()
                .cloned()
                .unwrap_or_default();
            groups
                .iter()
                .all(|group| group["members"].as_array().is_some_and(|m| m.len() == 3))
        };
        self.until("three voters", 0, "/v1/status", members).await?;
        println!(
            "all instances hold the configuration and both groups have three voters after {} ms",
            start.elapsed().as_millis()
        );
        Ok(())
    }

    async fn note(&self) -> Result<(), Error> {
        let note = note()?;
        let submission = json!({ "key": "demo-1", "expected": 0, "note": note });
        let start = Instant::now();
        let answer = self.post(0, "/v1/notes", &submission).await?;
        let outcome = answer.json();
        step(outcome["outcome"] == "accepted", || {
            format!("the note was not accepted: {outcome}")
        })?;
        println!(
            "note 1 accepted through a1 after {} ms: synced on a quorum of three disks",
            start.elapsed().as_millis()
        );
        let in_force = |answer: &Answer| answer.json()["in_force"] == true;
        self.until("note in force", 6, "/v1/notes/1/force", in_force)
            .await?;
        println!(
            "note 1 in force on all 7 instances after {} ms",
            start.elapsed().as_millis()
        );
        let resent = self.post(5, "/v1/notes", &submission).await?.json();
        step(resent == outcome, || {
            format!("the resend was answered {resent}")
        })?;
        println!("the same note resent through a6 got the first answer: {resent}");
        Ok(())
    }

    async fn bad_note(&self) -> Result<(), Error> {
        let note = json!({ "summary": "demo conflict", "change": { "firm-a": { "weight": 9 } } });
        let submission = json!({ "key": "demo-2", "expected": 0, "note": note });
        let answer = self.post(3, "/v1/notes", &submission).await?;
        step(answer.status == 409, || {
            format!("status {} for an old number", answer.status)
        })?;
        println!(
            "a note written against number 0 was refused: {}",
            answer.json()
        );
        let note = json!({ "summary": "demo fault", "change": { "firm-x": { "weight": 9 } } });
        let submission = json!({ "key": "demo-3", "expected": 1, "note": note });
        let answer = self.post(3, "/v1/notes", &submission).await?;
        step(answer.status == 422, || {
            format!("status {} for a bad note", answer.status)
        })?;
        println!("a note with a fault was refused: {}", answer.json());
        Ok(())
    }

    async fn job(&self) -> Result<(), Error> {
        let spec = json!({
            "account": "firm-a", "key": "glazing-1", "class": "urgent",
            "shape": { "tasks": 4, "accelerators": 4, "adjacency": "rack" },
            "payload": "run_ms=300",
        });
        let start = Instant::now();
        let answer = self.post(4, "/v1/jobs", &spec).await?;
        let accepted = answer.json();
        step(answer.status == 201, || {
            format!("the job was not accepted: {accepted}")
        })?;
        let id = text(&accepted["id"]).to_owned();
        println!(
            "job {id} accepted through a5 after {} ms",
            start.elapsed().as_millis()
        );
        let path = format!("/v1/jobs/{id}");
        let running = |answer: &Answer| {
            matches!(
                text(&answer.json()["job"]["state"]),
                "running" | "done" | "failed" | "unknown"
            )
        };
        let job = self.until("job running", 1, &path, running).await?.json();
        println!(
            "job {id} is {} after {} ms on {}",
            text(&job["job"]["state"]),
            start.elapsed().as_millis(),
            members(&job)
        );
        let ended = |answer: &Answer| {
            matches!(
                text(&answer.json()["job"]["state"]),
                "done" | "failed" | "unknown"
            )
        };
        let job = self.until("job ended", 2, &path, ended).await?.json();
        step(job["job"]["state"] == "done", || {
            format!("the job ended as {job}")
        })?;
        println!(
            "job {id} is done after {} ms, read through a3: {}",
            start.elapsed().as_millis(),
            text(&job["job"]["detail"])
        );
        Ok(())
    }

    async fn request(&self) -> Result<(), Error> {
        let headers = [
            ("x-client-account", "firm-a"),
            ("x-service", "fit"),
            ("x-class", "short"),
            ("x-deadline-ms", "2000"),
            ("x-idempotent", "true"),
        ];
        let body = "does hinge 7 fit at 12 degrees?";
        let start = Instant::now();
        loop {
            let answer = self
                .client
                .call(
                    self.requests[6],
                    Method::POST,
                    "/fit/hinge-7",
                    &headers,
                    body,
                )
                .await?;
            if answer.status == 200 {
                step(answer.body == body, || {
                    "the echo is not the request's own body".into()
                })?;
                println!(
                    "request through a7 answered whole after {} ms with {} bytes; a new leader grants \
                     no slots for 3 s",
                    start.elapsed().as_millis(),
                    answer.body.len()
                );
                return Ok(());
            }
            let refusal = String::from_utf8_lossy(&answer.body).into_owned();
            step(start.elapsed() < STEP_LIMIT, || {
                format!("request refused: {refusal}")
            })?;
            time::sleep(POLL).await;
        }
    }

    async fn keyed_request(&self, platform: &Platform) -> Result<(), Error> {
        let headers = [
            ("x-client-account", "firm-a"),
            ("x-service", "fit"),
            ("x-class", "short"),
            ("x-deadline-ms", "2000"),
            ("idempotency-key", "order-17"),
        ];
        let mut answers = Vec::new();
        for instance in [3, 5] {
            let address = self.requests[instance];
            let start = Instant::now();
            let answer = loop {
                let answer = self
                    .client
                    .call(address, Method::POST, "/fit/order", &headers, "lid 17")
                    .await?;
                let not_run = answer.headers.get("x-ran").is_some_and(|ran| ran == "no");
                if !not_run || start.elapsed() > STEP_LIMIT {
                    break answer;
                }
                time::sleep(POLL).await;
            };
            step(answer.status == 200, || {
                format!(
                    "status {}: {}",
                    answer.status,
                    String::from_utf8_lossy(&answer.body)
                )
            })?;
            answers.push(answer.body);
        }
        let upstreams = platform.upstreams.iter();
        let runs: u64 = upstreams
            .map(|upstream| upstream.executions("order-17"))
            .sum();
        step(runs == 1, || format!("the keyed request ran {runs} times"))?;
        step(answers[0] == answers[1], || {
            "the resend got another answer".into()
        })?;
        println!(
            "a keyed order sent through a4 and again through a6 ran once; both got its answer"
        );
        Ok(())
    }
}

fn members(view: &Value) -> String {
    let members = view["job"]["attempt"]["members"]
        .as_array()
        .cloned()
        .unwrap_or_default();
    let places = members
        .iter()
        .map(|member| format!("{}{}", text(&member["worker"]), member["accelerators"]));
    places.collect::<Vec<_>>().join(" ")
}

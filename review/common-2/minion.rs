//! A sound minion, as PROTOCOL.md describes it.

use {
    crate::{
        http::{Message, call, read_message},
        json,
        judge::{Key, World},
    },
    std::{
        collections::HashMap,
        io::{self, Write},
        net::{Ipv4Addr, SocketAddr, SocketAddrV4, TcpListener, TcpStream},
        process,
        sync::{Arc, Mutex, MutexGuard, atomic::Ordering},
        thread,
        time::{Duration, Instant, SystemTime, UNIX_EPOCH},
    },
};

/// A run on a minion.
#[derive(Clone)]
pub struct Run {
    pub since: Instant,
    pub work: Duration,
    pub stops_at: Option<Instant>,
}

/// How a minion is connected.
#[derive(Clone, Copy, PartialEq)]
pub enum Link {
    Sound,
    /// Nothing passes in either direction.
    Cut,
}

pub struct State {
    pub runs: HashMap<Key, Run>,
    pub ends: Vec<(u64, Key, &'static str)>,
    pub last_number: u64,
    /// Highest run that was stopped or has ended, by task.
    pub over: HashMap<String, u64>,
    pub token: u64,
    pub lease_ms: f64,
    pub link: Link,
    pub up: bool,
    /// Number of its starts.
    pub life: u64,
    pub born: u64,
    pub start: Instant,
    /// Node that the last acknowledgement named for later heartbeats.
    pub target: Option<SocketAddr>,
    pub sequence: u64,
}

pub struct Minion {
    pub id: String,
    pub address: SocketAddr,
    /// Speed of its steady clock.
    pub rate: f64,
    pub rack: String,
    pub zone: &'static str,
    pub kind: String,
    pub cpu: u64,
    pub state: Mutex<State>,
    pub world: Arc<World>,
}

impl Minion {
    #[allow(clippy::too_many_arguments)]
    pub fn spawn(
        world: &Arc<World>,
        id: String,
        ip: Ipv4Addr,
        rate: f64,
        rack: String,
        zone: &'static str,
        kind: String,
        cpu: u64,
    ) -> io::Result<Arc<Minion>> {
        let listener = TcpListener::bind(SocketAddrV4::new(ip, 0))?;
        let address = listener.local_addr()?;
        let minion = Arc::new(Minion {
            id,
            address,
            rate,
            rack,
            zone,
            kind,
            cpu,
            state: Mutex::new(State {
                runs: HashMap::new(),
                ends: Vec::new(),
                last_number: 0,
                over: HashMap::new(),
                token: 0,
                lease_ms: 0.0,
                link: Link::Sound,
                up: true,
                life: 1,
                born: born_now(),
                start: Instant::now(),
                target: None,
                sequence: 0,
            }),
            world: world.clone(),
        });
        let server = minion.clone();
        small_thread(move || {
            for stream in listener.incoming().flatten() {
                let server = server.clone();
                small_thread(move || server.serve(stream));
            }
        });
        let beating = minion.clone();
        small_thread(move || beating.beat_forever());
        Ok(minion)
    }

    pub fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap()
    }

    /// Its steady clock, which starts with each life.
    pub fn clock_of(&self, state: &State) -> f64 {
        state.start.elapsed().as_secs_f64() * 1000.0 * self.rate
    }

    pub fn beat_forever(&self) {
        let mut turn = self.address.port() as usize;
        while !self.world.over.load(Ordering::Relaxed) {
            let (up, life) = {
                let state = self.state();
                (state.up, state.life)
            };
            if up && self.beat(turn) {
                let next = Instant::now() + self.world.heartbeat;
                while Instant::now() < next && self.state().life == life {
                    thread::sleep(Duration::from_millis(10));
                }
            } else if !up {
                thread::sleep(Duration::from_millis(5));
                continue;
            } else {
                thread::sleep(Duration::from_millis(50));
            }
            turn += 1;
        }
    }

    /// Sends a heartbeat; returns whether it was acknowledged.
    pub fn beat(&self, turn: usize) -> bool {
        let (target, body) = {
            let mut state = self.state();
            if state.link != Link::Sound {
                return true;
            }
            state.sequence += 1;
            let controls = &self.world.controls;
            let target = state.target.unwrap_or(controls[turn % controls.len()]);
            let body = format!(
                "{{\"service\":\"pool\",\"address\":\"{}\",\"zone\":\"{}\",\"version\":\"v1\",\"slots\":8,\"state\":\"ready\",\"coldRemainingMs\":0,\"capacity\":{{\"cpu\":{},\"memMb\":131072,\"gpu\":8}},\"labels\":[\"{}\",\"{}\"],\"clockMs\":{},\"sequence\":{},\"born\":{}}}",
                self.address,
                self.zone,
                self.cpu,
                self.kind,
                self.rack,
                self.clock_of(&state) as u64,
                state.sequence,
                state.born
            );
            (target, body)
        };
        let request = format!("POST /Instances.Heartbeat/{}", self.id);
        let answer = call(
            target,
            &request,
            "Host: c\r\n",
            &body,
            Duration::from_secs(1),
        );
        let mut state = self.state();
        if state.link != Link::Sound {
            return false;
        }
        match answer {
            Ok((200, body)) => {
                let named = json::parse(&body);
                state.target = named.get("heartbeatUrl").text().parse().ok();
                true
            }
            _ => {
                state.target = None;
                false
            }
        }
    }

    /// Crashes.
    pub fn crash(&self) {
        self.go_down();
        self.world.record.add(format!("{} crashes", self.id));
    }

    pub fn go_down(&self) {
        let mut state = self.state();
        state.up = false;
        let runs: Vec<Key> = state.runs.drain().map(|(key, _)| key).collect();
        drop(state);
        for key in runs {
            self.world.ended(&self.id, &key, "gone");
        }
    }

    /// Starts again under its id after a crash, and knows nothing of before.
    pub fn rise(&self) {
        let mut state = self.state();
        state.up = true;
        state.life += 1;
        state.born = born_now();
        state.start = Instant::now();
        state.ends.clear();
        state.last_number = 0;
        state.over.clear();
        state.token = 0;
        state.lease_ms = 0.0;
        state.sequence = 0;
        drop(state);
        self.world.record.add(format!("{} starts again", self.id));
    }

    pub fn is_in_life(&self, life: u64) -> bool {
        let state = self.state();
        state.up && state.life == life
    }

    pub fn serve(&self, mut stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let life = self.state().life;
        let mut rest = Vec::new();
        while let Ok(Some(message)) = read_message(&mut stream, &mut rest) {
            if !self.is_in_life(life) {
                return;
            }
            if self.state().link != Link::Sound {
                // Nothing arrives. The first packet of a new connection is sent again after a second.
                let until = Instant::now() + Duration::from_secs(1);
                while Instant::now() < until && !self.world.over.load(Ordering::Relaxed) {
                    thread::sleep(Duration::from_millis(20));
                }
                while self.state().link != Link::Sound && !self.world.over.load(Ordering::Relaxed) {
                    thread::sleep(Duration::from_millis(20));
                }
                return;
            }
            let intended = message.headers.get("target-instance");
            let (status, body) = match intended.is_none_or(|id| *id == self.id) {
                true => self.answer(&message),
                false => (421, String::new()),
            };
            if self.state().link != Link::Sound || !self.is_in_life(life) {
                return;
            }
            let text = format!(
                "HTTP/1.1 {status} X\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n{body}",
                body.len()
            );
            if stream.write_all(text.as_bytes()).is_err() {
                return;
            }
        }
    }

    pub fn answer(&self, message: &Message) -> (u16, String) {
        let body = json::parse(&message.body);
        let path = message.start.split(' ').nth(1).unwrap_or_default();
        let token = body.get("fencingToken").number().unwrap_or(0.0) as u64;
        let key = (
            body.get("task").text().to_owned(),
            body.get("run").number().unwrap_or(0.0) as u64,
        );
        let mut state = self.state();
        let clock = self.clock_of(&state);
        let refuse = |reason: &str| {
            (
                409,
                format!("{{\"clockMs\":{},\"reason\":\"{reason}\"}}", clock as u64),
            )
        };
        if path == "/health" {
            return (200, String::new());
        }
        if token < state.token {
            return refuse("fence");
        }
        state.token = token;
        if let Some(until) = body.get("deadlineMs").number() {
            let until = until.min(clock + self.world.hold_max_ms);
            state.lease_ms = state.lease_ms.max(until);
        }
        match path {
            "/run-start" => {
                if state.runs.contains_key(&key) {
                    return (200, format!("{{\"clockMs\":{}}}", clock as u64));
                }
                if state.over.get(&key.0).is_some_and(|over| key.1 <= *over) {
                    return refuse("old");
                }
                if state.lease_ms <= clock {
                    return refuse("late");
                }
                let run = Run {
                    since: Instant::now(),
                    work: work_of(body.get("spec").text(), &key.0),
                    stops_at: None,
                };
                state.runs.insert(key.clone(), run);
                drop(state);
                self.world.begun(&self.id, &key);
                (200, format!("{{\"clockMs\":{}}}", clock as u64))
            }
            "/run-stop" => {
                let at = Instant::now() + Duration::from_millis(50);
                match state.runs.get_mut(&key) {
                    Some(run) => run.stops_at = Some(run.stops_at.unwrap_or(at)),
                    None => {
                        let over = state.over.entry(key.0.clone()).or_default();
                        *over = (*over).max(key.1);
                    }
                }
                (200, format!("{{\"clockMs\":{}}}", clock as u64))
            }
            "/hold" => {
                let last_seen = body.get("lastSeen").number().unwrap_or(0.0) as u64;
                let forgotten: Vec<Key> = state
                    .ends
                    .iter()
                    .filter(|end| end.0 <= last_seen)
                    .map(|end| end.1.clone())
                    .collect();
                state.ends.retain(|end| end.0 > last_seen);
                drop(state);
                for key in &forgotten {
                    self.world.noted(&self.id, key);
                }
                let wait = body.get("waitMs").number().unwrap_or(0.0).min(2000.0);
                let until = Instant::now() + Duration::from_millis(wait as u64);
                while Instant::now() < until && self.state().ends.is_empty() && self.state().up {
                    thread::sleep(Duration::from_millis(3));
                }
                (200, self.list())
            }
            _ => (404, String::new()),
        }
    }

    /// The lists of what runs and of the first 500 ends that are not forgotten.
    pub fn list(&self) -> String {
        let state = self.state();
        let running: Vec<String> = state
            .runs
            .iter()
            .map(|(key, run)| {
                let worked = run.since.elapsed().as_secs_f64();
                // A task that lasts is at work, at 100 percent, after a short startup.
                let (needed, most) = match run.work == LASTING {
                    true => (0.3, 100.0),
                    false => (run.work.as_secs_f64(), 99.0),
                };
                let percent = (worked / needed * 100.0).clamp(0.0, most) as u64;
                format!("[\"{}\",{},\"\",{percent}]", key.0, key.1)
            })
            .collect();
        let ended: Vec<String> = state
            .ends
            .iter()
            .take(500)
            .map(|(number, key, how)| format!("[{number},\"{}\",{},\"{how}\",\"\"]", key.0, key.1))
            .collect();
        if state.ends.len() > 500 {
            self.world.record.add(format!(
                "{} lists 500 of {} ends",
                self.id,
                state.ends.len()
            ));
        }
        format!(
            "{{\"clockMs\":{},\"born\":{},\"runningTasks\":[{}],\"ended\":[{}]}}",
            self.clock_of(&state) as u64,
            state.born,
            running.join(","),
            ended.join(",")
        )
    }

    /// Ends what is done, stopped or without a lease.
    pub fn tick(&self) {
        let now = Instant::now();
        let mut state = self.state();
        let clock = self.clock_of(&state);
        if !state.up || state.runs.is_empty() {
            return;
        }
        let lapsed = state.lease_ms <= clock;
        let mut due: Vec<(Instant, Key, &'static str)> = Vec::new();
        for (key, run) in &state.runs {
            if lapsed {
                due.push((now, key.clone(), "lapsed"));
            } else if run.stops_at.is_some_and(|at| now >= at) {
                due.push((now, key.clone(), "stopped"));
            } else if now >= run.since + run.work {
                due.push((run.since + run.work, key.clone(), "done"));
            }
        }
        due.sort();
        for (_, key, how) in &due {
            state.runs.remove(key);
            state.last_number += 1;
            let number = state.last_number;
            state.ends.push((number, key.clone(), how));
            let over = state.over.entry(key.0.clone()).or_default();
            *over = (*over).max(key.1);
        }
        drop(state);
        for (_, key, how) in due {
            self.world.ended(&self.id, &key, how);
        }
    }
}

/// The time of a start, in milliseconds since the Unix epoch.
pub fn born_now() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH).unwrap();
    since.as_millis() as u64
}

/// Stands for the work of a task that runs until it is stopped.
pub const LASTING: Duration = Duration::from_secs(3600);

/// The work of a task: the spec `BASE STEP` gives milliseconds, STEP for each index.
pub fn work_of(spec: &str, task: &str) -> Duration {
    if spec == "lasting" {
        return LASTING;
    }
    let index: f64 = task
        .rsplit('.')
        .next()
        .unwrap_or("0")
        .parse()
        .unwrap_or(0.0);
    let mut words = spec.split(' ').filter_map(|word| word.parse::<f64>().ok());
    let base = words.next().unwrap_or(1000.0);
    let step = words.next().unwrap_or(0.0);
    Duration::from_secs_f64((base + step * index) / 1000.0)
}

pub fn small_thread(run: impl FnOnce() + Send + 'static) {
    let thread = thread::Builder::new().stack_size(256 * 1024);
    if let Err(error) = thread.spawn(run) {
        eprintln!("cannot start a thread: {error}");
        process::exit(2);
    }
}

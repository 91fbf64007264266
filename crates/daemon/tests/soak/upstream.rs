use {
    super::{
        exchange::{self, Message},
        judge::{self, Judge, ZONE},
        proxy::Proxy,
    },
    plan::engine::{Hold, Refusal, Start, Stop},
    rand::{RngExt, SeedableRng, rngs::StdRng},
    serde_json::{Value, json},
    sim::Upstream as Model,
    std::{
        net::SocketAddr,
        sync::{
            Arc, Mutex, MutexGuard, PoisonError,
            atomic::{AtomicBool, AtomicU64, Ordering},
        },
        thread,
        time::{Duration, Instant, SystemTime, UNIX_EPOCH},
    },
    work::{id, job::Definition, job::Resources, upstream::Outcome},
};

/// Longest lease in milliseconds, as the settings of the instances say.
pub const LEASE_MS: u64 = 6000;

/// Work of a task in milliseconds.
const WORK_MS: f64 = 400.0;

/// Work of a task of a job with the text [`LONG`], in milliseconds: longer than a lease.
const LONG_WORK_MS: f64 = 8000.0;

/// Text of the jobs with long tasks.
pub const LONG: &str = "long";

/// Text of the jobs whose tasks last until they are cancelled.
pub const LASTING: &str = "lasting";

/// Longest delay of a call that is carried out late, in milliseconds, as the platform documents it.
const MAX_DELAY_MS: u64 = 12_000;

/// Room of an upstream and of a task.
const CAPACITY: i64 = 4;

/// Interval of heartbeats.
const HEARTBEAT: Duration = Duration::from_millis(500);

/// Wait for the answer to a report about itself.
const REPORT_LIMIT: Duration = Duration::from_secs(1);

/// Calls of an upstream that leaves, until one is acknowledged.
const DEREGISTER_TRIES: usize = 3;

/// A planned end of an upstream.
#[derive(Clone, Copy, Debug)]
pub struct Departure {
    /// When it deregisters.
    pub at: Instant,
    /// Whether the acknowledgement of that reaches it.
    pub is_acknowledged: bool,
    /// Time for which it goes on without an acknowledgement.
    pub overtime: Duration,
}

/// A stand-in upstream: the model of `sim` on real time, behind a proxy.
pub struct Upstream {
    number: usize,
    origin: Instant,
    model: Mutex<Model>,
    sequence: Mutex<u64>,
    /// Number of the last end before the lease was over for the last time: a later note of it does not count.
    lapsed_end: AtomicU64,
    is_up: AtomicBool,
    /// Whether its heartbeats reach the instances.
    is_heard: AtomicBool,
    departure: Mutex<Option<Departure>>,
    /// Share of the calls that get no answer and are carried out late, in percent.
    late_percent: AtomicU64,
    /// Time by which its time of day is behind that of the instances.
    behind: Duration,
    rng: Mutex<StdRng>,
    judge: Arc<Judge>,
}

/// An upstream and the proxy through which it is reached.
pub struct Link {
    pub upstream: Arc<Upstream>,
    pub proxy: Proxy,
}

impl Upstream {
    /// Starts an upstream that announces itself to the control instances. Its time of day is behind theirs.
    pub fn spawn(
        number: usize,
        behind: Duration,
        controls: &[SocketAddr],
        judge: &Arc<Judge>,
        over: &Arc<AtomicBool>,
    ) -> Link {
        let mut model = Model::new(format!("u{number}").as_str().into(), 1.0, LEASE_MS);
        model.born_ms = unix_ms(behind);
        let upstream = Arc::new(Upstream {
            number,
            origin: Instant::now(),
            model: Mutex::new(model),
            sequence: Mutex::new(0),
            lapsed_end: AtomicU64::new(0),
            is_up: AtomicBool::new(true),
            is_heard: AtomicBool::new(true),
            departure: Mutex::new(None),
            late_percent: AtomicU64::new(0),
            behind,
            rng: Mutex::new(StdRng::seed_from_u64(number as u64)),
            judge: judge.clone(),
        });
        let server = upstream.clone();
        let address = exchange::serve("127.0.0.1:0".parse().unwrap(), move |request| {
            server.answer(request)
        });
        let proxy = Proxy::bind(address);
        let controls = controls.to_vec();
        let (ticking, announcing) = (over.clone(), over.clone());
        let (ticker, announced) = (upstream.clone(), proxy.address);
        let announcer = upstream.clone();
        thread::spawn(move || {
            while !ticking.load(Ordering::Relaxed) {
                ticker.end_due(&mut ticker.model(), ticker.now_ms());
                thread::sleep(Duration::from_millis(10));
            }
        });
        thread::spawn(move || {
            for turn in 0.. {
                if announcing.load(Ordering::Relaxed) {
                    return;
                }
                announcer.report(&controls, turn, announced);
                thread::sleep(HEARTBEAT);
            }
        });
        Link { upstream, proxy }
    }

    /// Lets this share of the calls go without an answer and be carried out late, even by a later incarnation.
    pub fn delay_calls(&self, percent: u64) {
        self.late_percent.store(percent, Ordering::Relaxed);
    }

    /// Lets its heartbeats reach the instances, or not.
    pub fn set_heard(&self, is_heard: bool) {
        self.is_heard.store(is_heard, Ordering::Relaxed);
    }

    /// Lets it drain, deregister and end.
    pub fn depart(&self, departure: Departure) {
        *self.departure() = Some(departure);
    }

    /// Whether an incarnation is there.
    pub fn is_up(&self) -> bool {
        self.is_up.load(Ordering::Relaxed)
    }

    /// Number of its runs.
    pub fn count_runs(&self) -> usize {
        self.model().runs.len()
    }

    /// Ends the incarnation with all that it runs.
    pub fn crash(&self) {
        let mut model = self.model();
        self.is_up.store(false, Ordering::Relaxed);
        for (task, _) in model.reborn(self.now_ms()) {
            self.judge.over(self.number, &task.to_string());
        }
    }

    /// Begins the next incarnation, with a new clock.
    pub fn restart(&self) {
        let mut model = self.model();
        model.reborn(self.now_ms());
        model.born_ms = unix_ms(self.behind);
        *self.sequence() = 0;
        self.lapsed_end.store(0, Ordering::Relaxed);
        self.is_up.store(true, Ordering::Relaxed);
    }

    fn departure(&self) -> MutexGuard<'_, Option<Departure>> {
        self.departure
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    fn sequence(&self) -> MutexGuard<'_, u64> {
        self.sequence.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn rng(&self) -> MutexGuard<'_, StdRng> {
        self.rng.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn model(&self) -> MutexGuard<'_, Model> {
        self.model.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn now_ms(&self) -> f64 {
        self.origin.elapsed().as_secs_f64() * 1000.0
    }

    /// Says to the instance whose turn it is how it is, or that it leaves.
    fn report(&self, controls: &[SocketAddr], turn: usize, address: SocketAddr) {
        if !self.is_up() || !self.is_heard.load(Ordering::Relaxed) {
            return;
        }
        let departure = *self.departure();
        match departure.filter(|departure| departure.at <= Instant::now()) {
            Some(departure) => self.deregister(controls, turn, departure),
            None => self.announce(controls[turn % controls.len()], address, departure),
        }
    }

    /// Leaves and ends, without an acknowledgement only after a while. Calls a few instances until one acknowledges.
    fn deregister(&self, controls: &[SocketAddr], turn: usize, departure: Departure) {
        let body = json!({ "born": self.model().born_ms }).to_string();
        let request = format!("POST /Instances.Deregister/u{}", self.number);
        let next = controls.iter().cycle().skip(turn % controls.len());
        let is_acknowledged = next.take(DEREGISTER_TRIES).any(|control| {
            let answer = exchange::call(*control, &request, "Host: c\r\n", &body, REPORT_LIMIT);
            answer.is_ok_and(|answer| answer.status() == 200)
        });
        if !departure.is_acknowledged || !is_acknowledged {
            thread::sleep(departure.overtime);
        }
        *self.departure() = None;
        self.crash();
    }

    fn announce(&self, control: SocketAddr, address: SocketAddr, departure: Option<Departure>) {
        let (state, remaining_ms) = match departure {
            Some(Departure { at, .. }) => {
                let left = at.saturating_duration_since(Instant::now());
                ("draining", Some(left.as_millis() as u64))
            }
            None => ("ready", None),
        };
        let (born_ms, clock_ms, sequence) = {
            let model = self.model();
            let mut sequence = self.sequence();
            *sequence += 1;
            (model.born_ms, model.clock_ms(self.now_ms()), *sequence)
        };
        let body = json!({
            "service": "pool", "address": address.to_string(), "zone": format!("z{}", self.number / ZONE), "version": "v1", "slots": 4,
            "state": state, "remainingMs": remaining_ms, "coldRemainingMs": 0,
            "capacity": {"cpu": CAPACITY * 1000, "memMb": 1000, "gpu": CAPACITY},
            "labels": ["a", format!("r{}", self.number / 2)], "clockMs": clock_ms,
            "sequence": sequence, "born": born_ms,
        });
        let request = format!("POST /Instances.Heartbeat/u{}", self.number);
        // The next heartbeat goes to another instance.
        drop(exchange::call(
            control,
            &request,
            "Host: c\r\n",
            &body.to_string(),
            REPORT_LIMIT,
        ));
    }

    /// Answers a call, if it is answered.
    fn answer(&self, request: &Message) -> Option<(u16, String)> {
        let percent = self.late_percent.load(Ordering::Relaxed);
        let delay_ms = {
            let mut rng = self.rng();
            let is_late = rng.random_range(0..100) < percent;
            is_late.then(|| rng.random_range(100..MAX_DELAY_MS))
        };
        if let Some(delay_ms) = delay_ms {
            thread::sleep(Duration::from_millis(delay_ms));
            while !self.is_up() {
                thread::sleep(Duration::from_millis(10));
            }
        }
        let answer = self
            .is_up()
            .then(|| self.carry_out(request, delay_ms.is_some()))?;
        answer.filter(|_| delay_ms.is_none())
    }

    /// Carries out a call; none if it ends with the incarnation.
    fn carry_out(&self, request: &Message, is_late: bool) -> Option<(u16, String)> {
        let body: Value = serde_json::from_str(&request.body).unwrap_or_default();
        let token = body["fencingToken"].as_u64().unwrap_or(0);
        let path = request.start.split(' ').nth(1).unwrap_or_default();
        let result = match path {
            "/run-start" => self.start(&body, token, is_late)?,
            "/run-stop" => {
                let stop = Stop {
                    task: name(&body).parse().unwrap(),
                    run: body["run"].as_u64().unwrap() as u32,
                };
                let now_ms = self.now_ms();
                self.model().stop(stop, token, now_ms, 50.0)
            }
            "/hold" => return self.hold(&body, token),
            _ => return Some((404, String::new())),
        };
        Some(self.reply(result))
    }

    fn reply(&self, result: Result<(), Refusal>) -> (u16, String) {
        let clock = self.model().clock_ms(self.now_ms());
        match result {
            Ok(()) => (200, json!({ "clockMs": clock }).to_string()),
            Err(refusal) => {
                let reason = match refusal {
                    Refusal::Fenced => "fence",
                    Refusal::Old => "old",
                    _ => "late",
                };
                (
                    409,
                    json!({ "clockMs": clock, "reason": reason }).to_string(),
                )
            }
        }
    }

    /// Carries out a start; none if the incarnation has ended meanwhile.
    fn start(&self, body: &Value, token: u64, is_late: bool) -> Option<Result<(), Refusal>> {
        let task: id::Task = name(body).parse().unwrap();
        let order = Start {
            task,
            run: body["run"].as_u64().unwrap() as u32,
            definition: Arc::new(Definition::default()),
            lease_until_ms: body["deadlineMs"].as_u64().unwrap(),
            checkpoint: String::new(),
            ticket: None,
        };
        let mut model = self.model();
        let now_ms = self.now_ms();
        if !self.is_up() {
            return None;
        }
        self.end_due(&mut model, now_ms);
        let result = model.start(&order, token, now_ms);
        if result == Ok(true) {
            let run = sim::Run {
                work_ms: match body["spec"].as_str() {
                    Some(LONG) => LONG_WORK_MS,
                    Some(LASTING) => f64::INFINITY,
                    _ => WORK_MS,
                },
                done_ms: 0.0,
                since_ms: Some(now_ms),
                begun_ms: now_ms,
                fails_at: None,
                room: Resources {
                    accelerators: 1,
                    ..Resources::default()
                },
                saves: false,
                resumed_ms: 0.0,
                stops_at: None,
            };
            model.runs.insert((task, order.run), run);
            let fits = model.room().accelerators <= CAPACITY;
            let start = judge::Start { fits, is_late };
            self.judge.begun(self.number, &task.to_string(), start);
        }
        Some(result.map(|_| ()))
    }

    fn hold(&self, body: &Value, token: u64) -> Option<(u16, String)> {
        let last_end = body["lastSeen"].as_u64().unwrap_or(0);
        let order = Hold {
            lease_until_ms: body["deadlineMs"].as_u64(),
            last_end,
            wait: Duration::ZERO,
        };
        let (noted, born_ms): (Vec<String>, u64) = {
            let mut model = self.model();
            let now_ms = self.now_ms();
            self.end_due(&mut model, now_ms);
            let bound = self.lapsed_end.load(Ordering::Relaxed) + 1..=last_end;
            let ends = model
                .ends
                .iter()
                .filter(|end| bound.contains(&end.number) && end.how == Outcome::Done);
            let noted = ends.map(|end| end.task.to_string()).collect();
            if let Err(refusal) = model.hold(&order, token, now_ms) {
                drop(model);
                return Some(self.reply(Err(refusal)));
            }
            (noted, model.born_ms)
        };
        for task in noted {
            self.judge.noted(self.number, &task);
        }
        let until = Instant::now() + Duration::from_millis(body["waitMs"].as_u64().unwrap_or(0));
        while Instant::now() < until && self.model().ends.is_empty() {
            thread::sleep(Duration::from_millis(10));
        }
        let (held, lasting) = {
            let model = self.model();
            let lasting = model
                .runs
                .iter()
                .filter(|(_, run)| run.work_ms.is_infinite());
            let lasting: Vec<_> = lasting.map(|(key, _)| *key).collect();
            (model.list(self.now_ms()), lasting)
        };
        if held.born_ms != Some(born_ms) {
            return None;
        }
        let running: Vec<Value> = held
            .running
            .iter()
            .map(|run| {
                // One that lasts is at work as soon as it has begun.
                let is_lasting = lasting.contains(&(run.task, run.run));
                let percent = if is_lasting { 100 } else { run.percent };
                json!([run.task.to_string(), run.run, run.checkpoint, percent])
            })
            .collect();
        let ended: Vec<Value> = held
            .ended
            .iter()
            .map(|end| {
                json!([
                    end.number,
                    end.task.to_string(),
                    end.run,
                    end.how.to_string(),
                    ""
                ])
            })
            .collect();
        let answer = json!({
            "clockMs": held.clock_ms, "born": born_ms, "runningTasks": running, "ended": ended,
        });
        Some((200, answer.to_string()))
    }

    /// Ends what is done, stopped or without a lease. Called before each order that may extend the lease, so that none revives
    /// what has lost it.
    fn end_due(&self, model: &mut Model, now_ms: f64) {
        let lapsed = model.clock_ms(now_ms) > model.lease_ms;
        let due = model.runs.iter().filter_map(|(key, run)| {
            let how = if lapsed {
                Outcome::Lapsed
            } else if run.stops_at.is_some_and(|at| now_ms >= at) {
                Outcome::Stopped
            } else if run.done_at(now_ms) >= run.work_ms {
                Outcome::Done
            } else {
                return None;
            };
            Some((*key, how))
        });
        for (key, how) in due.collect::<Vec<_>>() {
            model.end(key, how, now_ms);
            let task = key.0.to_string();
            self.judge.over(self.number, &task);
            if how == Outcome::Done {
                self.judge.done(self.number, &task);
            }
        }
        if lapsed {
            self.lapsed_end.store(model.last_end, Ordering::Relaxed);
        }
    }
}

fn unix_ms(behind: Duration) -> u64 {
    let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH).unwrap();
    (since_epoch - behind).as_millis() as u64
}

fn name(body: &Value) -> &str {
    body["task"].as_str().unwrap_or_default()
}

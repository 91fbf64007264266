use {
    super::link::{Fake, Line, TASKS, Weather},
    control::{
        follow::Follower,
        group::{Group, Setup},
        jobs::{Context, Controller, Findings, Settings},
        peers::Peers,
        state::{Answer, Command},
        worker::Registry,
    },
    fake::worker::Tasks,
    model::{
        clock::{Clock, Manual},
        config::Config,
        job::{Class, Job, Spec, State},
        place::Site,
        shape::{Adjacency, Shape},
        worker::{self, Announcement, TaskState},
    },
    rand::{SeedableRng, rngs::StdRng},
    serde_json::json,
    std::{
        collections::HashSet,
        sync::{
            Arc, Mutex, OnceLock,
            atomic::{AtomicBool, Ordering},
            mpsc,
        },
        time::Duration,
    },
    tempfile::TempDir,
    tokio::{task, time},
    wire::Verdict,
};

/// Virtual time of one step.
const STEP: Duration = Duration::from_millis(10);

const ACCELERATORS: u16 = 8;

pub struct World {
    pub fake: Arc<Fake>,
    clock: Arc<Manual>,
    folder: disk::Folder,
    group: Group,
    controller: Controller,
    registry: Arc<Registry>,
    follower: Arc<Follower>,
    config: Config,
    /// Keeps tokio's paused clock from moving while the replica's thread works.
    _hold: mpsc::Sender<()>,
    _temporary: TempDir,
}

fn settings() -> Settings {
    Settings {
        regions: vec!["north".into()],
        lease: Duration::from_secs(2),
        start_limit: Duration::from_secs(1),
        renew_every: Duration::from_millis(400),
        settle: Duration::ZERO,
        silent_after: Duration::from_millis(1500),
        ..Settings::default()
    }
}

impl World {
    pub async fn new(seed: u64, weather: Weather) -> World {
        let (hold, wait) = mpsc::channel::<()>();
        task::spawn_blocking(move || wait.recv());
        let clock = Arc::new(Manual::new());
        let workers = ["w1", "w2", "w3"].map(|name| {
            let tasks = Tasks::new(name, ACCELERATORS, clock.now());
            (name.to_owned(), Arc::new(Mutex::new(tasks)))
        });
        let fake = Arc::new(Fake {
            clock: clock.clone(),
            workers: workers.into_iter().collect(),
            dead: Mutex::default(),
            refusing: Mutex::default(),
            stubborn: Mutex::default(),
            panics: AtomicBool::new(false),
            group: Mutex::default(),
            random: Mutex::new(StdRng::seed_from_u64(seed)),
            weather,
            record: Mutex::default(),
        });
        let note = json!({ "summary": "first", "add": { "firm-a": { "places": ["north"] } } });
        let config = Config::default()
            .apply(&serde_json::from_value(note).unwrap())
            .unwrap();
        let temporary = TempDir::new().unwrap();
        let folder = disk::Folder::open(temporary.path()).unwrap();
        let (registry, follower) = (Arc::new(Registry::default()), Arc::new(Follower::default()));
        let group = open(&folder, &clock).await;
        group.bootstrap();
        let controller = control(&group, &registry, &follower, &clock, &fake);
        *fake.group.lock().unwrap() = Some(group.clone());
        let mut world = World {
            fake,
            clock,
            folder,
            group,
            controller,
            registry,
            follower,
            config,
            _hold: hold,
            _temporary: temporary,
        };
        world.lead().await;
        world
    }

    async fn lead(&mut self) {
        for _ in 0..1000 {
            if self.group.leads() && self.controller.is_settled() {
                return;
            }
            self.step().await;
        }
        panic!("no leadership");
    }

    /// Virtual time passes while the replica's thread does not step, as when its disk is slow.
    pub async fn stall(&mut self, time: Duration) {
        let end = self.clock.now() + time;
        while self.clock.now() < end {
            for _ in 0..8 {
                task::yield_now().await;
            }
            self.clock.advance(STEP);
            time::advance(STEP).await;
        }
    }

    /// One step of virtual time: everything that is due runs, and proposals are on disk.
    pub async fn step(&mut self) {
        let now = self.clock.now();
        self.follower
            .update(Some(self.config.clone()), now, Duration::from_secs(5));
        let wall = self.clock.wall_ms();
        if wall.is_multiple_of(500) {
            self.announce(wall);
        }
        for _ in 0..3 {
            for _ in 0..8 {
                task::yield_now().await;
            }
            drop(self.group.read().await);
        }
        self.clock.advance(STEP);
        time::advance(STEP).await;
    }

    fn announce(&self, wall: u64) {
        let now = self.clock.now();
        for (name, tasks) in &self.fake.workers {
            if self.fake.dead.lock().unwrap().contains(name) {
                continue;
            }
            let mut tasks = tasks.lock().unwrap();
            let worker = worker::Worker {
                name: name.clone(),
                site: Site {
                    region: "north".into(),
                    data_centre: "north-a".into(),
                },
                rack: "r1".into(),
                accelerators: ACCELERATORS,
                cpus: 32,
                memory_mb: 64 * 1024,
                address: name.clone(),
            };
            let announcement = Announcement {
                worker,
                sequence: wall + 1,
                clock_ms: tasks.clock_ms(now),
                tasks: tasks.list(now),
            };
            self.registry.hear(announcement, now);
        }
    }

    pub async fn submit(&mut self, repeatable: bool) -> u64 {
        let spec = Spec {
            account: "firm-a".into(),
            key: "job".into(),
            class: Class::Standard,
            shape: Shape {
                tasks: TASKS,
                accelerators: ACCELERATORS,
                cpus: 0,
                memory_mb: 0,
                adjacency: Adjacency::Rack,
            },
            place: None,
            repeatable,
            max_attempts: 20,
            declared_seconds: None,
            payload: "run_ms=800".into(),
        };
        let at_ms = self.clock.wall_ms();
        match self
            .commit(&Command::Submit {
                spec: Box::new(spec),
                at_ms,
            })
            .await
        {
            Answer::Job(job) => job.id,
            other => panic!("{other:?}"),
        }
    }

    pub async fn commit(&self, command: &Command) -> Answer {
        match self.group.propose(command.encode()).await {
            Verdict::Answer(bytes) => serde_json::from_slice(&bytes).unwrap(),
            other => panic!("{other:?}"),
        }
    }

    pub async fn cancel(&self, job: u64) {
        let at_ms = self.clock.wall_ms();
        self.commit(&Command::Cancel { job, at_ms }).await;
    }

    pub fn job(&self, id: u64) -> Job {
        self.group.state().jobs().get(id).cloned().unwrap()
    }

    /// Kills the worker of the first task of a job, or any if it has none.
    pub fn kill(&self, job: u64) {
        let attempt = self.job(job).attempt;
        let name = attempt.map_or("w1".to_owned(), |attempt| attempt.members[0].worker.clone());
        self.fake.dead.lock().unwrap().insert(name);
    }

    /// Makes every worker answer orders to stop with running tasks.
    pub fn never_stop(&self) {
        let names = self.fake.workers.keys().cloned();
        self.fake.stubborn.lock().unwrap().extend(names);
    }

    /// Ends the task that carries out a gang at its next order.
    pub fn panic_once(&self) {
        self.fake.panics.store(true, Ordering::Relaxed);
    }

    pub fn refuse(&self, name: &str) {
        self.fake.refusing.lock().unwrap().insert(name.into());
    }

    /// Ends the replica and its controller as a lost leadership does, and elects it again after `pause`.
    ///
    /// The old controller is left running: it must notice by itself.
    pub async fn depose(&mut self, pause: Duration) {
        self.group.stop();
        while self.group.view().stop_reason.is_none() {
            std::thread::sleep(Duration::from_millis(1));
        }
        let end = self.clock.now() + pause;
        while self.clock.now() < end {
            self.step().await;
        }
        self.group = open(&self.folder, &self.clock).await;
        let (registry, follower) = (&self.registry, &self.follower);
        let old = std::mem::replace(
            &mut self.controller,
            control(&self.group, registry, follower, &self.clock, &self.fake),
        );
        *self.fake.group.lock().unwrap() = Some(self.group.clone());
        self.lead().await;
        old.stop();
    }

    /// Runs until the job ended, checking at every step; then until every lease is over.
    pub async fn finish(&mut self, id: u64, limit: Duration) -> (Job, Vec<String>) {
        let end = self.clock.now() + limit;
        while !self.job(id).state.is_end() && self.clock.now() < end {
            self.step().await;
            self.check();
        }
        let job = self.job(id);
        if !job.state.is_end() {
            self.fault(format!("the job is still {:?}: {}", job.state, job.detail));
        }
        let end = self.clock.now() + settings().lease_over();
        while self.clock.now() < end {
            self.step().await;
            self.check();
        }
        let running = self.fake.running();
        if !running.is_empty() {
            self.fault(format!("tasks run after the end: {running:?}"));
        }
        let starts = self.starts();
        if !job.spec.repeatable && starts > 1 {
            self.fault(format!(
                "a job that must not run twice started {starts} times"
            ));
        }
        if job.state == State::Done && starts == 0 {
            self.fault("done without a start".into());
        }
        let faults = std::mem::take(&mut self.fake.record.lock().unwrap().faults);
        (job, faults)
    }

    /// Number of attempts of which a task ran.
    pub fn starts(&self) -> usize {
        let mut tokens = HashSet::new();
        for tasks in self.fake.workers.values() {
            tokens.extend(
                tasks
                    .lock()
                    .unwrap()
                    .runs()
                    .iter()
                    .map(|(_, token, _)| *token),
            );
        }
        tokens.len()
    }

    /// Number of reserved tasks on all workers.
    pub fn reserved(&self) -> usize {
        let now = self.clock.now();
        let workers = self.fake.workers.values();
        let lists = workers.flat_map(|tasks| tasks.lock().unwrap().list(now));
        lists
            .filter(|task| task.state == TaskState::Reserved)
            .count()
    }

    /// Two attempts of one job never run at once.
    fn check(&self) {
        for (job, tokens) in self.fake.running() {
            let different: HashSet<&u64> = tokens.iter().collect();
            if different.len() > 1 {
                self.fault(format!("attempts {different:?} of job {job} run at once"));
            }
        }
    }

    fn fault(&self, text: String) {
        self.fake.record.lock().unwrap().faults.push(text);
    }
}

async fn open(folder: &disk::Folder, clock: &Arc<Manual>) -> Group {
    static PEERS: OnceLock<Peers> = OnceLock::new();
    let peers = PEERS.get_or_init(|| {
        let address = "127.0.0.1:0".parse().unwrap();
        Peers::bind(1, address, [], Duration::from_secs(2)).unwrap()
    });
    // The store is free when the thread of the replica before it has ended.
    for _ in 0..10_000 {
        let setup = Setup {
            name: "north".into(),
            id: 1,
            settings: quorum::Settings::default(),
            clock: clock.clone(),
            peers: peers.clone(),
        };
        match Group::spawn(folder, setup) {
            Ok(group) => return group,
            Err(_) => std::thread::sleep(Duration::from_millis(1)),
        }
    }
    panic!("the store of the former replica is still open");
}

fn control(
    group: &Group,
    registry: &Arc<Registry>,
    follower: &Arc<Follower>,
    clock: &Arc<Manual>,
    fake: &Arc<Fake>,
) -> Controller {
    Controller::spawn(Context {
        group: group.clone(),
        follower: follower.clone(),
        registry: registry.clone(),
        link: Arc::new(Line(fake.clone())),
        clock: clock.clone(),
        settings: settings(),
        findings: Findings::new(Arc::new(())),
    })
}

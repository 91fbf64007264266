//! Time of one decision and memory per task at growing sizes:
//! `cargo run --release -p trial --example scale`.

use {
    gang::{Decision, Event, Scheduler, Settings},
    model::{
        account::{Account, Guarantee},
        config::Config,
        job::{Attempt, Class, Job, Spec, State},
        place::{Place, Site},
        shape::{Adjacency, Shape},
        worker::Worker,
    },
    rand::{RngExt, SeedableRng, rngs::StdRng},
    std::time::{Duration, Instant},
};

/// Running tasks for each worker; 7,700 at 810 workers.
const TASKS: f64 = 9.5;

/// Jobs that wait in the queue while decisions are timed.
const QUEUED: usize = 600;

/// Events timed at each size.
const EVENTS: usize = 2000;

/// Copies by which the memory of a scheduler is measured.
const COPIES: usize = 20;

/// Queued jobs cancelled in one wave.
const WAVE: usize = 5000;

struct Cluster {
    scheduler: Scheduler,
    rng: StdRng,
    jobs: Vec<Job>,
    running: Vec<usize>,
    tasks: usize,
    accounts: usize,
    now: Instant,
    wall_ms: u64,
    times: Vec<f64>,
}

impl Cluster {
    fn new(workers: usize) -> Cluster {
        let accounts = (77 * workers / 810).max(4);
        let mut cluster = Cluster {
            scheduler: Scheduler::new(Settings::default()),
            rng: StdRng::seed_from_u64(7),
            jobs: Vec::new(),
            running: Vec::new(),
            tasks: 0,
            accounts,
            now: Instant::now(),
            wall_ms: 0,
            times: Vec::new(),
        };
        cluster.observe(Event::Tick { wall_ms: 0 });
        cluster.observe(Event::Configured(Box::new(config(accounts))));
        for index in 0..workers {
            cluster.observe(Event::WorkerAnnounced {
                worker: Box::new(worker(index)),
                tasks: Vec::new(),
            });
        }
        cluster
    }

    fn observe(&mut self, event: Event) {
        self.scheduler.observe(event, self.now);
    }

    /// Submits a gang of one to eight tasks, or of 64 once in a hundred; three quarters of the tasks
    /// need no accelerator.
    fn submit(&mut self) -> usize {
        let tasks = match self.rng.random_range(0..100) {
            0 => 64,
            _ => self.rng.random_range(1..=8),
        };
        let accelerators = if self.rng.random_range(0..4) == 0 {
            1
        } else {
            0
        };
        let classes = [
            Class::Urgent,
            Class::Standard,
            Class::Standard,
            Class::Sweep,
        ];
        let class = classes[self.rng.random_range(0..4)];
        let account = format!("account-{}", self.rng.random_range(0..self.accounts));
        let id = self.jobs.len();
        let job = Job {
            id: id as u64,
            spec: Spec {
                account,
                key: String::new(),
                class,
                shape: Shape {
                    tasks,
                    accelerators,
                    cpus: 3,
                    memory_mb: 4 * 1024,
                    adjacency: Adjacency::DataCentre,
                },
                place: None,
                repeatable: true,
                max_attempts: 5,
                declared_seconds: None,
                payload: String::new(),
            },
            state: State::Queued,
            attempt: None,
            starts: 0,
            cancelled: false,
            borrowed: false,
            detail: String::new(),
            submitted_ms: self.wall_ms,
            changed_ms: self.wall_ms,
        };
        self.jobs.push(job.clone());
        self.observe(Event::JobAccepted(Box::new(job)));
        id
    }

    fn change(&mut self, id: usize, state: State) {
        self.jobs[id].state = state;
        self.jobs[id].changed_ms = self.wall_ms;
        let job = Box::new(self.jobs[id].clone());
        self.observe(Event::JobChanged(job));
    }

    /// Decides and commits until nothing is proposed, and notes the time of each call.
    fn settle(&mut self) {
        loop {
            let begin = Instant::now();
            let decisions = self.scheduler.decide(self.now);
            self.times.push(begin.elapsed().as_secs_f64());
            if decisions.is_empty() {
                return;
            }
            for decision in decisions {
                match decision {
                    Decision::Place {
                        job,
                        members,
                        borrowed,
                    } => {
                        let id = job as usize;
                        self.tasks += members.len();
                        self.running.push(id);
                        self.jobs[id].borrowed = borrowed;
                        let attempt = Attempt {
                            number: 1,
                            token: 0,
                            members,
                        };
                        self.jobs[id].attempt = Some(attempt);
                        self.change(id, State::Placed);
                        self.jobs[id].starts += 1;
                        self.change(id, State::Running);
                    }
                    Decision::Reclaim { job, .. } => {
                        let id = job as usize;
                        self.running.retain(|other| *other != id);
                        self.tasks -= usize::from(self.jobs[id].spec.shape.tasks);
                        self.change(id, State::Stopping);
                        self.change(id, State::Queued);
                    }
                    _ => {}
                }
            }
        }
    }

    fn pass(&mut self) {
        self.now += Duration::from_millis(200);
        self.wall_ms += 200;
        let wall_ms = self.wall_ms;
        self.observe(Event::Tick { wall_ms });
    }
}

fn config(accounts: usize) -> Config {
    let mut config = Config::default();
    for index in 0..accounts {
        let places: Vec<Place> = "r0".parse().into_iter().collect();
        let guarantee = places.first().map(|place| Guarantee {
            shape: Shape {
                tasks: 4,
                accelerators: 1,
                cpus: 3,
                memory_mb: 4 * 1024,
                adjacency: Adjacency::DataCentre,
            },
            count: 1,
            place: place.clone(),
        });
        let account = Account {
            places,
            weight: 1 + index as u32 % 4,
            quota: Some(100_000),
            guarantees: guarantee
                .into_iter()
                .map(|g| ("gang".to_owned(), g))
                .collect(),
            objectives: Vec::new(),
        };
        config.accounts.insert(format!("account-{index}"), account);
    }
    config
}

/// Two accelerators each, and a third on every tenth; six data centres, racks of eight.
fn worker(index: usize) -> Worker {
    Worker {
        name: format!("worker-{index}"),
        site: Site {
            region: "r0".into(),
            data_centre: format!("d{}", index / 8 % 6),
        },
        rack: format!("rack-{}", index / 8),
        accelerators: if index.is_multiple_of(10) { 3 } else { 2 },
        cpus: 32,
        memory_mb: 64 * 1024,
        address: "127.0.0.1:1".into(),
    }
}

/// Resident memory of this process in bytes.
fn resident() -> f64 {
    let statm = std::fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages: f64 = statm
        .split(' ')
        .nth(1)
        .and_then(|text| text.parse().ok())
        .unwrap_or(0.0);
    pages * 4096.0
}

fn quantile(times: &mut [f64], share: f64) -> f64 {
    times.sort_by(f64::total_cmp);
    let at = (times.len() as f64 * share) as usize;
    times
        .get(at.min(times.len().saturating_sub(1)))
        .copied()
        .unwrap_or(0.0)
        * 1e6
}

fn main() {
    println!(
        "{:>8} {:>8} {:>8} {:>8} {:>10} {:>10} {:>10} {:>12} {:>12}",
        "workers",
        "accounts",
        "tasks",
        "queued",
        "median us",
        "p99 us",
        "max us",
        "bytes/task",
        "cancel us"
    );
    let mut medians: Vec<(f64, f64)> = Vec::new();
    for workers in [48, 200, 810, 1620] {
        let mut cluster = Cluster::new(workers);
        let wanted = (TASKS * workers as f64) as usize;
        while cluster.tasks < wanted {
            let last = cluster.tasks;
            for _ in 0..100 {
                cluster.submit();
            }
            cluster.settle();
            cluster.pass();
            if cluster.tasks == last && cluster.jobs.len() > wanted {
                break;
            }
        }
        // Copies of the scheduler, the first of which fill memory that was freed before.
        let tasks = cluster.tasks;
        let mut copies: Vec<Scheduler> = (0..COPIES).map(|_| cluster.scheduler.clone()).collect();
        let before = resident();
        copies.extend((0..COPIES).map(|_| cluster.scheduler.clone()));
        let bytes = (resident() - before) / (COPIES * tasks.max(1)) as f64;
        drop(copies);
        let queued = |cluster: &Cluster| {
            cluster
                .jobs
                .iter()
                .filter(|job| job.state == State::Queued)
                .count()
        };
        while queued(&cluster) < QUEUED {
            cluster.submit();
        }
        cluster.settle();
        cluster.times.clear();
        for event in 0..EVENTS {
            match event % 4 {
                0 if !cluster.running.is_empty() => {
                    let at = cluster.rng.random_range(0..cluster.running.len());
                    let id = cluster.running.swap_remove(at);
                    cluster.tasks -= usize::from(cluster.jobs[id].spec.shape.tasks);
                    cluster.change(id, State::Done);
                }
                1 => {
                    cluster.submit();
                }
                2 => {
                    let index = cluster.rng.random_range(0..workers);
                    let worker = Box::new(worker(index));
                    cluster.observe(Event::WorkerAnnounced {
                        worker,
                        tasks: Vec::new(),
                    });
                }
                _ => cluster.pass(),
            }
            cluster.settle();
        }
        let mut times = std::mem::take(&mut cluster.times);
        let (median, p99, most) = (
            quantile(&mut times, 0.5),
            quantile(&mut times, 0.99),
            quantile(&mut times, 1.0),
        );
        let queue = queued(&cluster);
        let wave: Vec<_> = (0..WAVE).map(|_| cluster.submit()).collect();
        let begin = Instant::now();
        for id in &wave {
            cluster.observe(Event::JobCancelled { job: *id as u64 });
            cluster.change(*id, State::Cancelled);
        }
        let cancel = begin.elapsed().as_secs_f64() * 1e6 / WAVE as f64;
        println!(
            "{workers:>8} {:>8} {tasks:>8} {queue:>8} {median:>10.0} {p99:>10.0} {most:>10.0} {bytes:>12.0} {cancel:>12.1}",
            cluster.accounts
        );
        medians.push((workers as f64, median));
    }
    for pair in medians.windows(2) {
        let slope = (pair[1].1 / pair[0].1).ln() / (pair[1].0 / pair[0].0).ln();
        println!(
            "slope of the median from {} to {} workers: {slope:.2}",
            pair[0].0, pair[1].0
        );
    }
}

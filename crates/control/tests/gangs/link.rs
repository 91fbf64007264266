use {
    control::{
        group::Group,
        worker::{Error, Link},
    },
    fake::worker::Tasks,
    futures::{FutureExt, future::BoxFuture},
    indexmap::IndexMap,
    model::{
        clock::{Clock, Manual},
        worker::{self, Action, Order, Task, TaskState, Usage},
    },
    rand::{RngExt, rngs::StdRng},
    std::{
        collections::HashSet,
        sync::{
            Arc, Mutex,
            atomic::{AtomicBool, Ordering},
        },
        time::Duration,
    },
    tokio::time,
};

/// Time that an order and its answer take.
const LATENCY: Duration = Duration::from_millis(30);

/// Tasks of every gang.
pub const TASKS: u16 = 2;

/// What happens to the calls of the link.
#[derive(Clone, Copy, Debug, Default)]
pub struct Weather {
    /// Share of lost calls, in percent.
    pub lost: u32,
    /// Share of lost answers.
    pub unanswered: u32,
    /// Share of calls that arrive late, after the caller gave up.
    pub late: u32,
}

/// What the workers and the link saw.
#[derive(Default)]
pub struct Record {
    pub faults: Vec<String>,
    pub orders: usize,
}

pub struct Fake {
    pub clock: Arc<Manual>,
    pub workers: IndexMap<String, Arc<Mutex<Tasks>>>,
    pub dead: Mutex<HashSet<String>>,
    pub refusing: Mutex<HashSet<String>>,
    /// Workers that answer every order to stop with a running task.
    pub stubborn: Mutex<HashSet<String>>,
    /// Makes the next order panic.
    pub panics: AtomicBool,
    pub group: Mutex<Option<Group>>,
    pub random: Mutex<StdRng>,
    pub weather: Weather,
    pub record: Mutex<Record>,
}

fn obey(fake: &Fake, name: &str, orders: &[Order]) -> Result<worker::Answer, Error> {
    if fake.dead.lock().unwrap().contains(name) {
        return Err(Error::NoAnswer("dead".into()));
    }
    let now = fake.clock.now();
    let stubborn = fake.stubborn.lock().unwrap().contains(name);
    if stubborn && orders[0].action == Action::Stop {
        let tasks = orders.iter().map(|order| Task {
            token: order.token,
            job: order.job,
            task: order.task,
            state: TaskState::Running,
            usage: Usage::default(),
            detail: String::new(),
        });
        let clock_ms = fake.workers[name].lock().unwrap().clock_ms(now);
        return Ok(worker::Answer {
            clock_ms,
            tasks: tasks.collect(),
        });
    }
    if orders.iter().any(|order| order.action == Action::Start) {
        fake.check_start(orders[0].token);
    }
    let mut answer = fake.workers[name].lock().unwrap().obey(orders, now);
    if fake.refusing.lock().unwrap().contains(name) && orders[0].action == Action::Reserve {
        // It refuses before it holds anything.
        let stops: Vec<Order> = orders
            .iter()
            .map(|order| Order {
                action: Action::Stop,
                ..order.clone()
            })
            .collect();
        fake.workers[name].lock().unwrap().obey(&stops, now);
        for task in &mut answer.tasks {
            task.state = TaskState::Refused;
            task.detail = "not today".into();
        }
    }
    Ok(answer)
}

impl Fake {
    /// A gang starts only when all its tasks have been reserved.
    fn check_start(&self, token: u64) {
        let now = self.clock.now();
        let known: usize = self
            .workers
            .values()
            .map(|tasks| {
                let tasks = tasks.lock().unwrap().list(now);
                tasks.iter().filter(|task| task.token == token).count()
            })
            .sum();
        if known < usize::from(TASKS) {
            let text = format!("start of token {token} with {known} reserved tasks");
            self.record.lock().unwrap().faults.push(text);
        }
    }

    /// Tokens and number of the tasks that run now, by job.
    pub fn running(&self) -> IndexMap<u64, Vec<u64>> {
        let now = self.clock.now();
        let mut running: IndexMap<u64, Vec<u64>> = IndexMap::new();
        for tasks in self.workers.values() {
            for task in tasks.lock().unwrap().list(now) {
                if task.state == TaskState::Running {
                    running.entry(task.job).or_default().push(task.token);
                }
            }
        }
        running
    }
}

/// The link to the stand-in workers.
pub struct Line(pub Arc<Fake>);

impl Link for Line {
    fn order(
        &self,
        address: &str,
        orders: Vec<Order>,
    ) -> BoxFuture<'static, Result<worker::Answer, Error>> {
        let (fake, name) = (self.0.clone(), address.to_owned());
        assert!(!fake.panics.swap(false, Ordering::Relaxed), "planted panic");
        let leads = fake
            .group
            .lock()
            .unwrap()
            .as_ref()
            .is_some_and(|group| group.leads());
        {
            let mut record = fake.record.lock().unwrap();
            record.orders += 1;
            if !leads {
                record
                    .faults
                    .push(format!("{:?} sent without a lease", orders[0].action));
            }
        }
        let fate = fake.random.lock().unwrap().random_range(0..100);
        let weather = fake.weather;
        async move {
            time::sleep(LATENCY / 2).await;
            if fate < weather.lost {
                return Err(Error::NotSent("lost".into()));
            }
            if fate < weather.lost + weather.unanswered {
                drop(obey(&fake, &name, &orders));
                return Err(Error::NoAnswer("the answer was lost".into()));
            }
            if fate < weather.lost + weather.unanswered + weather.late {
                tokio::spawn(async move {
                    time::sleep(Duration::from_millis(1300)).await;
                    drop(obey(&fake, &name, &orders));
                });
                time::sleep(Duration::from_secs(5)).await;
                return Err(Error::NoAnswer("late".into()));
            }
            let answer = obey(&fake, &name, &orders);
            time::sleep(LATENCY / 2).await;
            answer
        }
        .boxed()
    }
}

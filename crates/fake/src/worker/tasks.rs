use {
    super::Script,
    indexmap::IndexMap,
    model::worker::{Action, Answer, Order, Task, TaskState, Usage},
    std::time::{Duration, Instant},
};

/// Ended tasks that a worker remembers, so that a delayed order cannot start one again.
const MAX_ENDED: usize = 4096;

#[derive(Clone, Debug)]
struct Held {
    task: Task,
    accelerators: Vec<u16>,
    lease_end: Instant,
    ends: Option<(Instant, bool)>,
}

impl Held {
    fn is_active(&self) -> bool {
        matches!(self.task.state, TaskState::Reserved | TaskState::Running)
    }
}

/// The tasks of one worker and the rules by which it obeys orders.
#[derive(Debug)]
pub struct Tasks {
    name: String,
    accelerators: u16,
    origin: Instant,
    held: IndexMap<(u64, u16), Held>,
    /// Every task that began to run: job, token and task index, in order.
    runs: Vec<(u64, u64, u16)>,
    fails_all: bool,
}

impl Tasks {
    /// A worker with nothing running.
    pub fn new(name: impl Into<String>, accelerators: u16, now: Instant) -> Tasks {
        Tasks {
            name: name.into(),
            accelerators,
            origin: now,
            held: IndexMap::new(),
            runs: Vec::new(),
            fails_all: false,
        }
    }

    /// Makes every task that starts from now on fail.
    pub fn fail_all(&mut self, fails: bool) {
        self.fails_all = fails;
    }

    /// Every task that began to run: job, token and task index, in order.
    pub fn runs(&self) -> &[(u64, u64, u16)] {
        &self.runs
    }

    /// The worker's monotonic clock in milliseconds.
    pub fn clock_ms(&self, now: Instant) -> u64 {
        now.saturating_duration_since(self.origin).as_millis() as u64
    }

    /// State of every remembered task.
    pub fn list(&mut self, now: Instant) -> Vec<Task> {
        self.settle(now);
        let active = |held: &&Held| held.is_active();
        let ended = self
            .held
            .values()
            .filter(|held| !held.is_active())
            .rev()
            .take(64);
        let tasks = self.held.values().filter(active).chain(ended);
        tasks.map(|held| held.task.clone()).collect()
    }

    /// Time of the next change by itself.
    pub fn next_change(&self) -> Option<Instant> {
        let active = self.held.values().filter(|held| held.is_active());
        active
            .map(|held| {
                held.ends
                    .map_or(held.lease_end, |(end, _)| end.min(held.lease_end))
            })
            .min()
    }

    /// Obeys orders. Ends of leases and tasks take effect first, so that an order which was delayed by a
    /// pause of this process finds what it should have found.
    pub fn obey(&mut self, orders: &[Order], now: Instant) -> Answer {
        self.settle(now);
        let tasks = orders
            .iter()
            .map(|order| self.obey_one(order, now))
            .collect();
        Answer {
            clock_ms: self.clock_ms(now),
            tasks,
        }
    }

    fn obey_one(&mut self, order: &Order, now: Instant) -> Task {
        let key = (order.token, order.task);
        if !self.held.contains_key(&key) {
            return match order.action {
                Action::Reserve => self.reserve(order, now),
                // Remembering the stop refuses a reservation that is still on its way.
                Action::Stop => self.remember(order, TaskState::Stopped, now),
                _ => answer(order, TaskState::Absent, "no such task"),
            };
        }
        let lease_end = self.lease_end(order, now);
        let fails = self.fails_all;
        let Some(held) = self.held.get_mut(&key) else {
            return answer(order, TaskState::Absent, "no such task");
        };
        match order.action {
            Action::Start if held.task.state == TaskState::Reserved => {
                let script = Script::parse(&order.payload);
                held.task.state = TaskState::Running;
                held.ends = Some((now + script.run, script.fail || fails));
                held.lease_end = held.lease_end.max(lease_end);
                self.runs.push((order.job, order.token, order.task));
            }
            Action::Start | Action::Renew | Action::Checkpoint if held.is_active() => {
                held.lease_end = held.lease_end.max(lease_end);
            }
            Action::Stop if held.is_active() => {
                held.task.state = TaskState::Stopped;
                held.task.detail = "stopped by order".into();
            }
            _ => {}
        }
        held.task.clone()
    }

    fn lease_end(&self, order: &Order, now: Instant) -> Instant {
        let echo = self.origin + Duration::from_millis(order.echo_ms);
        echo.min(now) + Duration::from_millis(order.lease_ms)
    }

    fn reserve(&mut self, order: &Order, now: Instant) -> Task {
        if order
            .accelerators
            .iter()
            .any(|index| *index >= self.accelerators)
        {
            return answer(order, TaskState::Refused, "no such accelerator");
        }
        let overlaps = |held: &Held| {
            let mut wanted = order.accelerators.iter();
            held.is_active()
                && held.task.token != order.token
                && wanted.any(|index| held.accelerators.contains(index))
        };
        let blocked = self.held.values().any(|held| {
            overlaps(held)
                && (held.task.token > order.token || held.task.state == TaskState::Running)
        });
        if blocked {
            return answer(order, TaskState::Refused, "an accelerator is in use");
        }
        for held in self.held.values_mut().filter(|held| overlaps(held)) {
            held.task.state = TaskState::Stopped;
            held.task.detail = "replaced by a newer reservation".into();
        }
        self.remember(order, TaskState::Reserved, now)
    }

    fn remember(&mut self, order: &Order, state: TaskState, now: Instant) -> Task {
        let task = answer(order, state, "");
        let held = Held {
            task: task.clone(),
            accelerators: order.accelerators.clone(),
            lease_end: now + Duration::from_millis(order.lease_ms),
            ends: None,
        };
        self.held.insert((order.token, order.task), held);
        let surplus = self.held.len().saturating_sub(MAX_ENDED);
        if surplus > 0 {
            let mut left = surplus;
            self.held.retain(|_, held| {
                let keep = left == 0 || held.is_active();
                left -= usize::from(!keep);
                keep
            });
        }
        task
    }

    /// Ends tasks whose time or lease is over.
    fn settle(&mut self, now: Instant) {
        for held in self.held.values_mut().filter(|held| held.is_active()) {
            let end = held
                .ends
                .filter(|(end, _)| *end <= now && *end <= held.lease_end);
            match end {
                Some((_, true)) => {
                    held.task.state = TaskState::Failed;
                    held.task.detail = format!("exit status 1 on {}", self.name);
                }
                Some((_, false)) => {
                    held.task.state = TaskState::Done;
                    held.task.detail = format!("ok on {}", self.name);
                }
                None if held.lease_end <= now => {
                    held.task.state = TaskState::Stopped;
                    held.task.detail = "the lease ended".into();
                }
                None => {}
            }
        }
    }
}

fn answer(order: &Order, state: TaskState, detail: &str) -> Task {
    Task {
        token: order.token,
        job: order.job,
        task: order.task,
        state,
        usage: Usage::default(),
        detail: detail.to_owned(),
    }
}

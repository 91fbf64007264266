//! A leader and upstreams on a virtual clock. Tasks of the job [`DEADLY`] crash each upstream that starts them.

use {
    crate::{
        node::{Node, work_ms},
        work_load::{config, step},
    },
    indexmap::{IndexMap, IndexSet},
    plan::engine::{Effect, Engine, Event, Failure, Refusal, Settings, Target},
    std::time::{Duration, Instant},
    work::{
        id,
        job::{Definition, Resources, Step},
        registry::{Answer, Command, Registry, Update},
        upstream::{Outcome, Upstream},
    },
};

/// The job whose tasks crash their upstreams.
pub const DEADLY: id::Job = id::Job(0xdead);

/// The job whose tasks fail once their work is over.
pub const FAILING: id::Job = id::Job(0xfa11);

/// The job whose tasks take far longer than their estimate.
pub const LONG: id::Job = id::Job(0x1096);

/// Work of a task of [`LONG`].
pub const LONG_WORK_MS: u64 = 600_000;

/// Time from the start of a deadly task to the crash.
const CRASH_AFTER_MS: u64 = 10;

/// Time for which a crashed upstream is away, unless a test sets another one.
const RESTART_AFTER_MS: u64 = 3200;

/// Interval between two steps of the engine.
const STEP_MS: u64 = 20;

/// Steps within which the tasks of a job have to be started again: the lease of a lost run and some seconds more.
const MAX_STEPS_TO_START: u64 = 15_000 / STEP_MS;

/// Work of a task that does not crash its upstream.
pub const WORK_MS: u64 = 2500;

/// Time in addition to the wait of a hold after which it has failed.
const HOLD_MARGIN_MS: u64 = 700;

/// Wall-clock time at the start of the test, in milliseconds since the Unix epoch.
const EPOCH_MS: u64 = 1_000_000;

/// How a crashed upstream comes back.
#[derive(Clone, Copy, PartialEq)]
pub enum Return {
    /// Under another id at the same address.
    NewId,
    /// Under the same id.
    SameId,
}

/// A hold whose answer its upstream delays.
struct DelayedHold {
    call: u64,
    target: Target,
    until_ms: u64,
}

pub struct Cluster {
    pub registry: Registry,
    pub now_ms: u64,
    /// Number of crashes under each task, including those that another task caused.
    pub crashes: IndexMap<id::Task, u32>,
    /// Starts that brought an upstream over its capacity.
    pub overfull: Vec<id::Task>,
    /// Tasks that were done.
    done: IndexSet<id::Task>,
    /// Starts of tasks that were done.
    pub started_again: Vec<id::Task>,
    /// Number of starts of each task since the third crash under it.
    pub starts_after_third_crash: IndexMap<id::Task, u32>,
    pub restart_after_ms: u64,
    /// Time after which a call to an upstream that is cut off has failed.
    pub cut_timeout_ms: u64,
    returns: Return,
    engine: Engine,
    origin: Instant,
    nodes: Vec<Node>,
    events: Vec<Event>,
    /// Whether upstreams delay their answers to holds until a run ends, as the holds ask for.
    pub delays_answers: bool,
    delayed_holds: Vec<DelayedHold>,
    /// Failures of calls to upstreams that are cut off, with the time at which they are known.
    timeouts: Vec<(u64, Event)>,
    lives: u64,
}

impl Cluster {
    /// Upstreams of eight accelerators each, and a queue that allows three failed runs.
    pub fn new(upstreams: usize, returns: Return) -> Cluster {
        let origin = Instant::now();
        let mut registry = Registry::default();
        registry.apply(Command::Configure {
            at_ms: EPOCH_MS,
            config: Box::new(config()),
        });
        let mut cluster = Cluster {
            registry,
            now_ms: 0,
            crashes: IndexMap::new(),
            overfull: Vec::new(),
            done: IndexSet::new(),
            started_again: Vec::new(),
            starts_after_third_crash: IndexMap::new(),
            restart_after_ms: RESTART_AFTER_MS,
            cut_timeout_ms: 0,
            returns,
            engine: Engine::new(Settings::default(), origin),
            origin,
            nodes: Vec::new(),
            events: Vec::new(),
            delays_answers: false,
            delayed_holds: Vec::new(),
            timeouts: Vec::new(),
            lives: 0,
        };
        for index in 0..upstreams {
            cluster.nodes.push(Node {
                id: format!("node-{index}").as_str().into(),
                address: format!("10.0.0.{index}:80"),
                born_ms: 1,
                is_up: true,
                is_cut: false,
                crash_at_ms: None,
                back_at_ms: 0,
                accelerators: 8,
                running: IndexMap::new(),
                ended: Vec::new(),
                last_end: 0,
            });
            cluster.register(index);
        }
        cluster
    }

    /// Submits a job of one step.
    pub fn submit(&mut self, job: id::Job, count: u16, accelerators: i64, gang: bool) {
        let step = Step {
            gang,
            ..step(count, accelerators)
        };
        self.submit_step(job, step);
    }

    /// Submits a job of this step.
    pub fn submit_step(&mut self, job: id::Job, step: Step) {
        let answer = self.registry.apply(Command::Submit {
            at_ms: EPOCH_MS + self.now_ms,
            job,
            account: None,
            queue: "queue".into(),
            form: Box::new(Definition {
                steps: vec![step],
                ..Definition::default()
            }),
        });
        assert_eq!(answer, Answer::Accepted);
    }

    /// Cancels a job.
    pub fn cancel(&mut self, job: id::Job) {
        let at_ms = EPOCH_MS + self.now_ms;
        self.registry.apply(Command::Cancel { at_ms, job });
    }

    /// Number of ends that the upstreams still have to list.
    pub fn unreleased_ends(&self) -> usize {
        self.nodes.iter().map(|node| node.ended.len()).sum()
    }

    /// Replaces the leader; the next one knows only the registry.
    pub fn replace_leader(&mut self) {
        self.events.clear();
        self.timeouts.clear();
        self.delayed_holds.clear();
        let report = self.engine.start_report(&self.registry);
        self.engine = Engine::new(Settings::default(), self.now());
        self.engine.inherit_starts(&report, self.now());
    }

    /// Removes a run of the task without an end, as if its start had been lost with the leader that sent it.
    pub fn lose_start(&mut self, task: id::Task) {
        for node in &mut self.nodes {
            node.running.retain(|(other, _), _| *other != task);
        }
    }

    /// Changes the capacity of an upstream, as its next heartbeat reports it.
    pub fn set_accelerators(&mut self, index: usize, accelerators: i64) {
        self.nodes[index].accelerators = accelerators;
        self.register(index);
    }

    /// Cuts all upstreams off that run a task of the job, or connects them all again.
    pub fn set_cut(&mut self, job: Option<id::Job>) {
        for node in &mut self.nodes {
            node.is_cut = node.running.keys().any(|(task, _)| Some(task.job) == job);
        }
    }

    /// Crashes the upstreams that are cut off.
    pub fn crash_cut(&mut self) {
        let now_ms = self.now_ms;
        for node in self.nodes.iter_mut().filter(|node| node.is_cut) {
            node.crash_at_ms = Some(now_ms);
        }
    }

    /// Number of tasks of the job that run.
    pub fn running(&self, job: id::Job) -> usize {
        let tasks = self.nodes.iter().flat_map(|node| node.running.keys());
        tasks.filter(|(task, _)| task.job == job).count()
    }

    /// Crashes the upstream that runs the task.
    pub fn crash_under(&mut self, task: id::Task) {
        let now_ms = self.now_ms;
        let runs_it = |node: &&mut Node| node.running.keys().any(|(other, _)| *other == task);
        let node = self.nodes.iter_mut().find(runs_it);
        node.expect("the task runs").crash_at_ms = Some(now_ms);
    }

    /// Runs until upstreams that can be reached run all tasks of the job, which has one step of `count` tasks.
    pub fn run_until_started(&mut self, job: id::Job, count: usize) {
        for _ in 0..MAX_STEPS_TO_START {
            let nodes = self.nodes.iter().filter(|node| !node.is_cut);
            let tasks = nodes.flat_map(|node| node.running.keys());
            if tasks.filter(|(task, _)| task.job == job).count() == count {
                return;
            }
            self.run_for(STEP_MS);
        }
        panic!("the job is not started: {:?}", self.registry.job(job));
    }

    pub fn run_for(&mut self, ms: u64) {
        let end_ms = self.now_ms + ms;
        while self.now_ms < end_ms {
            self.now_ms += STEP_MS;
            self.advance_nodes();
            let now_ms = self.now_ms;
            let timeouts = self.timeouts.extract_if(.., |(at_ms, _)| *at_ms <= now_ms);
            self.events.extend(timeouts.map(|(_, event)| event));
            self.answer_delayed_holds();
            let events = std::mem::take(&mut self.events);
            let at_ms = EPOCH_MS + self.now_ms;
            let effects = self.engine.step(events, &self.registry, self.now(), at_ms);
            for effect in effects {
                self.carry_out(effect);
            }
        }
    }

    fn now(&self) -> Instant {
        self.origin + Duration::from_millis(self.now_ms)
    }

    fn register(&mut self, index: usize) {
        let node = &self.nodes[index];
        self.registry.apply(Command::Register {
            upstream: Box::new(Upstream {
                id: node.id.clone(),
                born_ms: node.born_ms,
                address: node.address.clone(),
                data_centre: "dc".into(),
                service: "pool".into(),
                capacity: Resources {
                    accelerators: node.accelerators,
                    ..Resources::default()
                },
                labels: vec![],
                rack: "rack".into(),
                draining: false,
                leaving_ms: None,
            }),
        });
    }

    fn advance_nodes(&mut self) {
        let now_ms = self.now_ms;
        let mut lost = Vec::new();
        for index in 0..self.nodes.len() {
            let node = &mut self.nodes[index];
            if node.crash_at_ms.take_if(|at| now_ms >= *at).is_some() {
                node.is_up = false;
                node.back_at_ms = now_ms + self.restart_after_ms;
                for ((task, run), _) in node.running.drain(..) {
                    *self.crashes.entry(task).or_default() += 1;
                    lost.push((task, run));
                }
            } else if !node.is_up && now_ms >= node.back_at_ms {
                self.lives += 1;
                if self.returns == Return::NewId {
                    node.id = format!("life-{}", self.lives).as_str().into();
                }
                node.is_up = true;
                node.born_ms = now_ms;
                node.ended.clear();
                node.last_end = 0;
                self.register(index);
            }
            let node = &mut self.nodes[index];
            let registry = &self.registry;
            let is_over = |task: &id::Task, begun_ms: u64| {
                let lasting = registry.step(task).is_some_and(|step| step.lasting);
                let ends = task.job != DEADLY && (!lasting || task.job == FAILING);
                ends && now_ms >= begun_ms + work_ms(task.job)
            };
            let over = node
                .running
                .extract_if(.., |(task, _), begun_ms| is_over(task, *begun_ms));
            for ((task, run), _) in over.collect::<Vec<_>>() {
                let how = match task.job {
                    FAILING => Outcome::Failed,
                    _ => Outcome::Done,
                };
                if how == Outcome::Done {
                    self.done.insert(task);
                }
                node.end(task, run, how);
            }
            if node.is_up && !node.is_cut && now_ms.is_multiple_of(1000) {
                self.events.push(Event::HeartbeatReceived {
                    upstream: node.id.clone(),
                    born_ms: node.born_ms,
                    clock_ms: Some(node.clock_ms(now_ms)),
                });
            }
        }
        self.break_gangs(&lost);
    }

    /// Ends the other members of gangs of which a run was lost.
    fn break_gangs(&mut self, lost: &[(id::Task, u32)]) {
        let is_gang = |task: &id::Task| self.registry.step(task).is_some_and(|step| step.gang);
        let gangs: Vec<_> = lost.iter().filter(|(task, _)| is_gang(task)).collect();
        for node in &mut self.nodes {
            let is_member = |key: &(id::Task, u32)| {
                let mut gangs = gangs.iter();
                gangs.any(|(task, run)| key.1 == *run && key.0.is_same_step(task))
            };
            let broken = node.running.extract_if(.., |key, _| is_member(key));
            for ((task, run), _) in broken.collect::<Vec<_>>() {
                node.end(task, run, Outcome::Broken);
            }
        }
    }

    /// The upstream at the target's address, or why a call to it fails.
    fn reach(&mut self, target: &Target) -> Result<&mut Node, Failure> {
        let at_address = |node: &&mut Node| node.address == target.address;
        let node = self.nodes.iter_mut().find(at_address).unwrap();
        match node {
            node if node.is_cut => Err(Failure::NoAnswer("timeout".into())),
            node if !node.is_up => Err(Failure::NotSent("refused".into())),
            node if node.id != target.upstream => Err(Failure::Refused(Refusal::OtherLife)),
            node => Ok(node),
        }
    }

    /// Answers the delayed holds that are due or have an end to list. A crash breaks them; behind a cut they time out.
    fn answer_delayed_holds(&mut self) {
        let now_ms = self.now_ms;
        for hold in std::mem::take(&mut self.delayed_holds) {
            let is_due = now_ms >= hold.until_ms;
            let is_timed_out = now_ms >= hold.until_ms + HOLD_MARGIN_MS;
            let answer = match self.reach(&hold.target) {
                Ok(node) if is_due || !node.ended.is_empty() => Ok(node.list(now_ms)),
                Err(Failure::NoAnswer(reason)) if is_timed_out => Err(Failure::NoAnswer(reason)),
                Ok(_) | Err(Failure::NoAnswer(_)) => {
                    self.delayed_holds.push(hold);
                    continue;
                }
                Err(_) => Err(Failure::NoAnswer("closed".into())),
            };
            let call = hold.call;
            self.events.push(Event::HoldAnswered { call, answer });
        }
    }

    fn carry_out(&mut self, effect: Effect) {
        let now_ms = self.now_ms;
        let event = match effect {
            Effect::Propose { proposal, updates } => self.commit(proposal, updates),
            Effect::Hold {
                call,
                target,
                order,
            } => {
                let delays_answers = self.delays_answers;
                let wait_ms = order.wait.as_millis() as u64;
                let mut is_delayed = false;
                let answer = self.reach(&target).map(|node| {
                    node.ended.retain(|end| end.number > order.last_end);
                    is_delayed = delays_answers && wait_ms > 0 && node.ended.is_empty();
                    node.list(now_ms)
                });
                if is_delayed {
                    let until_ms = now_ms + wait_ms;
                    return self.delayed_holds.push(DelayedHold {
                        call,
                        target,
                        until_ms,
                    });
                }
                Event::HoldAnswered { call, answer }
            }
            Effect::Start {
                call,
                target,
                order,
            } => {
                let key = (order.task, order.run);
                let mut begins = false;
                let mut room = 0;
                let mut running = Vec::new();
                let answer = self.reach(&target).map(|node| {
                    begins = node.running.insert(key, now_ms).is_none();
                    room = node.accelerators;
                    running.extend(node.running.keys().map(|(task, _)| *task));
                    if order.task.job == DEADLY {
                        node.crash_at_ms = Some(now_ms + CRASH_AFTER_MS);
                    }
                    Some(node.clock_ms(now_ms))
                });
                if begins && self.done.contains(&order.task) {
                    self.started_again.push(order.task);
                }
                if begins
                    && self
                        .crashes
                        .get(&order.task)
                        .is_some_and(|count| *count >= 3)
                {
                    *self.starts_after_third_crash.entry(order.task).or_default() += 1;
                }
                let steps = running.iter().filter_map(|task| self.registry.step(task));
                if begins && steps.map(|step| step.need.accelerators).sum::<i64>() > room {
                    self.overfull.push(order.task);
                }
                Event::StartAnswered { call, answer }
            }
            Effect::Stop {
                call,
                target,
                order,
            } => {
                let answer = self.reach(&target).map(|node| {
                    if node
                        .running
                        .shift_remove(&(order.task, order.run))
                        .is_some()
                    {
                        node.end(order.task, order.run, Outcome::Stopped);
                    }
                    Some(node.clock_ms(now_ms))
                });
                Event::StopAnswered { call, answer }
            }
            Effect::Advise { .. } => return,
        };
        match event {
            Event::HoldAnswered {
                answer: Err(Failure::NoAnswer(_)),
                ..
            }
            | Event::StartAnswered {
                answer: Err(Failure::NoAnswer(_)),
                ..
            }
            | Event::StopAnswered {
                answer: Err(Failure::NoAnswer(_)),
                ..
            } if self.cut_timeout_ms > 0 => {
                self.timeouts.push((now_ms + self.cut_timeout_ms, event))
            }
            event => self.events.push(event),
        }
    }

    fn commit(&mut self, proposal: u64, steps: Vec<Update>) -> Event {
        let at_ms = EPOCH_MS + self.now_ms;
        match self.registry.apply(Command::Progress { at_ms, steps }) {
            Answer::Runs(runs) => Event::ProposalCommitted { proposal, runs },
            other => unreachable!("{other:?}"),
        }
    }
}

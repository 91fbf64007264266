use {
    crate::{
        Arrival, Faults, Load, Nature, Oracle, Report, Tally, Trouble, Truth, Upstream,
        upstream::{Run, saved_ms},
    },
    indexmap::IndexMap,
    plan::engine::{
        Effect, Engine, Event, Failure, Held, Hold, Refusal, Settings, Start, Stop, Target,
    },
    rand::{RngExt, SeedableRng, rngs::StdRng},
    std::{
        collections::BTreeMap,
        time::{Duration, Instant},
    },
    work::{
        book::{Answer, Book, Command, State, Step},
        config::{Account, Config, Queue, Service},
        id,
        job::Need,
        upstream::{self, How},
    },
};

/// Time that upstreams take to stop a run, in milliseconds.
const STOP_MS: f64 = 250.0;

/// One way between the leader and an upstream, in milliseconds.
const TRAVEL_MS: f64 = 4.0;

/// Time after which an unanswered order is given up, in milliseconds.
const TIMEOUT_MS: f64 = 500.0;

/// Commit of a proposal, in milliseconds.
const COMMIT_MS: f64 = 12.0;

/// Interval of looks without an event, in milliseconds.
const TICK_MS: f64 = 50.0;

/// Interval of heartbeats, in milliseconds.
const BEAT_MS: f64 = 1500.0;

/// How many times as long work takes in the slower data centre.
const SLOWER_PACE: f64 = 1.3;

/// Room of an upstream: the size that the users state.
const CAPACITY: Need = Need {
    cpu_milli: 32_000,
    memory_mb: 65_536,
    accelerators: 8,
};

/// What a world is made of.
#[derive(Clone, Debug)]
pub struct Setup {
    /// Number of upstreams.
    pub upstreams: usize,
    /// Upstreams of a rack.
    pub rack: usize,
    /// Accelerators guaranteed to each account.
    pub guaranteed: i64,
    /// Shares of orders that go wrong.
    pub faults: Faults,
    /// Events of the day by time in milliseconds.
    pub troubles: Vec<(u64, Trouble)>,
    /// Seed of delays and faults.
    pub seed: u64,
    /// Bounds of the engine.
    pub settings: Settings,
}

impl Default for Setup {
    fn default() -> Setup {
        Setup {
            upstreams: 48,
            rack: 8,
            guaranteed: 59,
            faults: Faults::default(),
            troubles: Vec::new(),
            seed: 1,
            settings: Settings::default(),
        }
    }
}

/// An order on its way.
#[derive(Clone, Debug)]
enum Order {
    Start(Start),
    Stop(Stop),
    Hold(Hold),
}

/// Something that happens at a time.
#[derive(Clone, Debug)]
enum Happening {
    Tick,
    Beat,
    Arrive(Box<Arrival>),
    Commit {
        term: u64,
        ticket: u64,
        steps: Vec<Step>,
    },
    /// `late` holds the life of the upstream that carries the order out late.
    Reach {
        term: u64,
        call: u64,
        target: Target,
        order: Order,
        answered: bool,
        late: Option<u64>,
    },
    Answer {
        term: u64,
        event: Event,
    },
    /// A delayed answer of a hold is due.
    HoldDue {
        upstream: id::Upstream,
        call: u64,
    },
    Watch,
    Trouble(Trouble),
    Mend(id::Upstream),
}

/// A hold whose answer waits for an end.
#[derive(Clone, Debug)]
struct Waiting {
    term: u64,
    call: u64,
}

/// A day on a virtual clock.
pub struct World {
    setup: Setup,
    load: Load,
    base: Instant,
    now_ms: f64,
    order: u64,
    queue: BTreeMap<(u64, u64), Happening>,
    book: Book,
    engine: Engine,
    term: u64,
    upstreams: IndexMap<id::Upstream, Upstream>,
    waiting: IndexMap<id::Upstream, Waiting>,
    cut: IndexMap<id::Upstream, bool>,
    arrivals: IndexMap<id::Job, Arrival>,
    first_starts: IndexMap<id::Job, f64>,
    ended: IndexMap<id::Job, f64>,
    rng: StdRng,
    report: Report,
    /// Checks the promises.
    pub oracle: Oracle,
}

impl World {
    /// A world at the start of its day.
    pub fn new(setup: Setup, load: Load) -> World {
        let base = Instant::now();
        let rng = StdRng::seed_from_u64(setup.seed);
        let mut world = World {
            engine: Engine::new(setup.settings.clone(), base),
            load,
            base,
            now_ms: 0.0,
            order: 0,
            queue: BTreeMap::new(),
            book: Book::default(),
            term: 1,
            upstreams: IndexMap::new(),
            waiting: IndexMap::new(),
            cut: IndexMap::new(),
            arrivals: IndexMap::new(),
            first_starts: IndexMap::new(),
            ended: IndexMap::new(),
            rng,
            report: Report::default(),
            oracle: Oracle::default(),
            setup,
        };
        world.open();
        world
    }

    fn open(&mut self) {
        let config = Box::new(config(&self.load, self.setup.guaranteed));
        self.book.apply(Command::Configure { at_ms: 0, config });
        for number in 0..self.setup.upstreams {
            let id = id::Upstream::from(format!("u{number}"));
            let rate = 1.0 - 0.02 * self.rng.random::<f64>();
            let longest_ms = self.setup.settings.lease.as_millis() as u64;
            let mut model = Upstream::new(id.clone(), rate, longest_ms);
            // The users' third data centre has slower machines.
            if number * 3 >= self.setup.upstreams * 2 {
                model.pace = SLOWER_PACE;
            }
            self.register(&model, false, number);
            self.upstreams.insert(id, model);
        }
        self.at(0.0, Happening::Tick);
        self.at(0.0, Happening::Beat);
        self.at(0.0, Happening::Watch);
        for arrival in self.load.draw(self.setup.seed) {
            self.at(arrival.at_ms as f64, Happening::Arrive(Box::new(arrival)));
        }
        for (at_ms, trouble) in self.setup.troubles.clone() {
            self.at(at_ms as f64, Happening::Trouble(trouble));
        }
    }

    fn register(&mut self, model: &Upstream, draining: bool, number: usize) {
        let rack = format!("r{}", number / self.setup.rack);
        let upstream = Box::new(upstream::Upstream {
            id: model.id.clone(),
            born_ms: model.born_ms,
            address: model.id.to_string(),
            data_centre: format!("dc{}", number * 3 / self.setup.upstreams),
            service: "pool".into(),
            capacity: CAPACITY,
            labels: vec!["a".into(), rack.clone()],
            rack,
            draining,
        });
        self.book.apply(Command::Register { upstream });
    }

    fn at(&mut self, at_ms: f64, happening: Happening) {
        self.order += 1;
        let micros = (at_ms.max(self.now_ms) * 1000.0) as u64;
        self.queue.insert((micros, self.order), happening);
    }

    /// Plays until a time in milliseconds.
    pub fn run_until(&mut self, end_ms: u64) {
        while let Some((&(micros, order), _)) = self.queue.first_key_value() {
            if micros > end_ms * 1000 {
                return;
            }
            let Some(happening) = self.queue.remove(&(micros, order)) else {
                return;
            };
            self.now_ms = micros as f64 / 1000.0;
            self.happen(happening);
        }
    }

    /// Adds a job that the load does not hold.
    pub fn submit(&mut self, arrival: Arrival) {
        self.at(arrival.at_ms as f64, Happening::Arrive(Box::new(arrival)));
    }

    /// The book as it is now.
    pub fn book(&self) -> &Book {
        &self.book
    }

    fn happen(&mut self, happening: Happening) {
        match happening {
            Happening::Tick => {
                self.at(self.now_ms + TICK_MS, Happening::Tick);
                self.step(Vec::new());
            }
            Happening::Beat => {
                self.at(self.now_ms + BEAT_MS, Happening::Beat);
                self.beat();
            }
            Happening::Arrive(arrival) => self.arrive(*arrival),
            Happening::Commit {
                term,
                ticket,
                steps,
            } => self.commit(term, ticket, steps),
            Happening::Reach {
                term,
                call,
                target,
                order,
                answered,
                late,
            } => {
                self.reach(term, call, &target, order, answered, late);
            }
            Happening::Answer { term, event } => {
                if term == self.term {
                    self.step(vec![event]);
                }
            }
            Happening::HoldDue { upstream, call } => {
                if self
                    .waiting
                    .get(&upstream)
                    .is_some_and(|waiting| waiting.call == call)
                {
                    self.answer_hold(&upstream);
                }
            }
            Happening::Watch => {
                self.at(self.now_ms + 5.0, Happening::Watch);
                self.watch();
            }
            Happening::Trouble(trouble) => self.trouble(trouble),
            Happening::Mend(id) => {
                self.cut.shift_remove(&id);
                let now_ms = self.now_ms;
                if let Some(upstream) = self.upstreams.get_mut(&id) {
                    upstream.set_nature(Nature::Sound, now_ms);
                }
                self.refresh_work(&id);
            }
        }
    }

    fn step(&mut self, events: Vec<Event>) {
        let now = self.base + Duration::from_micros((self.now_ms * 1000.0) as u64);
        log::trace!("event=model_step at={:.0}", self.now_ms);
        let effects = self
            .engine
            .step(events, &self.book, now, self.now_ms as u64);
        for effect in effects {
            self.perform(effect);
        }
        self.note_ends();
    }

    fn perform(&mut self, effect: Effect) {
        let term = self.term;
        match effect {
            Effect::Propose { ticket, steps } => {
                self.at(
                    self.now_ms + COMMIT_MS,
                    Happening::Commit {
                        term,
                        ticket,
                        steps,
                    },
                );
            }
            Effect::Hold {
                call,
                target,
                order,
            } => self.send(call, target, Order::Hold(order)),
            Effect::Start {
                call,
                target,
                order,
            } => self.send(call, target, Order::Start(order)),
            Effect::Stop {
                call,
                target,
                order,
            } => self.send(call, target, Order::Stop(order)),
            Effect::Advise { .. } => {}
        }
    }

    /// Sends an order, which may be lost, late or unanswered.
    fn send(&mut self, call: u64, target: Target, order: Order) {
        let term = self.term;
        let faults = self.setup.faults;
        let draw: f64 = self.rng.random();
        let travel = TRAVEL_MS * self.rng.random_range(0.5..1.5);
        let wait = match &order {
            Order::Hold(hold) => hold.wait.as_secs_f64() * 1000.0,
            _ => 0.0,
        };
        let cut = self.cut.contains_key(&target.upstream);
        let lost = cut || draw < faults.lost;
        let late = !cut && draw > 1.0 - faults.late;
        let unanswered = !lost && !late && draw < faults.lost + faults.unanswered;
        if lost || late || unanswered {
            let event = failed(call, &order);
            self.at(
                self.now_ms + wait + TIMEOUT_MS,
                Happening::Answer { term, event },
            );
        }
        if lost {
            return;
        }
        let delay = if late {
            self.rng.random_range(2000.0..12_000.0)
        } else {
            travel
        };
        let answered = !late && !unanswered;
        let upstream = self.upstreams.get(&target.upstream);
        let late = upstream.filter(|_| late).map(|upstream| upstream.born_ms);
        self.at(
            self.now_ms + delay,
            Happening::Reach {
                term,
                call,
                target,
                order,
                answered,
                late,
            },
        );
    }

    fn reach(
        &mut self,
        term: u64,
        call: u64,
        target: &Target,
        order: Order,
        answered: bool,
        late: Option<u64>,
    ) {
        let id = target.upstream.clone();
        // What an upstream has received and not carried out yet is lost with its life.
        let life = self.upstreams.get(&id).map(|upstream| upstream.born_ms);
        if (self.cut.contains_key(&id) && late.is_none()) || (late.is_some() && late != life) {
            return;
        }
        let late = late.is_some();
        let event = match order {
            Order::Start(start) => {
                let answer = self.start(&id, &start, term, late);
                let answer = answer.map_err(Failure::Refused);
                Event::Started { call, answer }
            }
            Order::Stop(stop) => {
                let now_ms = self.now_ms;
                let Some(upstream) = self.upstreams.get_mut(&id) else {
                    return;
                };
                let answer = upstream.stop(stop, term, now_ms, STOP_MS);
                let answer = answer.map(|()| None).map_err(Failure::Refused);
                Event::Stopped { call, answer }
            }
            Order::Hold(hold) => {
                let now_ms = self.now_ms;
                let Some(upstream) = self.upstreams.get_mut(&id) else {
                    return;
                };
                match upstream.hold(&hold, term, now_ms) {
                    Err(refusal) => Event::Held {
                        call,
                        answer: Err(Failure::Refused(refusal)),
                    },
                    Ok(()) if !answered => return,
                    Ok(()) => {
                        let wait_ms = hold.wait.as_secs_f64() * 1000.0;
                        self.waiting.insert(id.clone(), Waiting { term, call });
                        let has_ends = upstream.ends.iter().any(|end| end.number > hold.last_end);
                        if has_ends || wait_ms == 0.0 {
                            self.answer_hold(&id);
                        } else {
                            self.at(now_ms + wait_ms, Happening::HoldDue { upstream: id, call });
                        }
                        return;
                    }
                }
            }
        };
        if answered {
            self.at(self.now_ms + TRAVEL_MS, Happening::Answer { term, event });
        }
    }

    fn answer_hold(&mut self, id: &id::Upstream) {
        let Some(Waiting { term, call }) = self.waiting.shift_remove(id) else {
            return;
        };
        let Some(upstream) = self.upstreams.get(id) else {
            return;
        };
        let held: Held = upstream.list(self.now_ms);
        let answer = match self.cut.contains_key(id) {
            true => Err(Failure::NoAnswer("cut".into())),
            false => Ok(held),
        };
        let delay = if answer.is_ok() {
            TRAVEL_MS
        } else {
            TIMEOUT_MS
        };
        let event = Event::Held { call, answer };
        self.at(self.now_ms + delay, Happening::Answer { term, event });
    }

    fn start(
        &mut self,
        id: &id::Upstream,
        order: &Start,
        term: u64,
        late: bool,
    ) -> Result<Option<u64>, Refusal> {
        let now_ms = self.now_ms;
        let upstream = self.upstreams.get_mut(id).ok_or(Refusal::OtherLife)?;
        let clock = Some(upstream.clock_ms(now_ms));
        if !upstream.start(order, term, now_ms)? {
            return Ok(clock);
        }
        let job = self.book.job(order.task.job).ok_or(Refusal::Malformed)?;
        let arrival = self
            .arrivals
            .get(&order.task.job)
            .ok_or(Refusal::Malformed)?;
        let step = job.step(&order.task).ok_or(Refusal::Malformed)?;
        let truth: &Truth = &arrival.truth;
        let saved = saved_ms(&order.checkpoint);
        let far = self.is_far(id, order);
        let factor = if far {
            self.setup.settings.far_factor
        } else {
            1.0
        };
        let work = truth.work_of(job, &order.task) as f64 * factor;
        let planned = truth
            .failures
            .get(usize::from(order.task.step))
            .copied()
            .unwrap_or(0);
        let before = self.book.progress(&order.task).map_or(0, |progress| {
            progress.gang_failures.max(
                progress
                    .tasks
                    .get(usize::from(order.task.index))
                    .map_or(0, |task| task.failures),
            )
        });
        let is_faulty_member = !step.gang || order.task.index == 0;
        let fails = truth.hopeless || (before < planned && is_faulty_member);
        let run = Run {
            work_ms: work,
            done_ms: saved.min(work),
            since_ms: None,
            begun_ms: now_ms,
            fails_at: fails.then_some(work / 2.0),
            room: step.room(),
            saves: step.checkpoints,
            resumed_ms: saved,
            stops_at: None,
        };
        let key = (order.task, order.run);
        log::debug!(
            "event=model_start task={} run={} upstream={id} late={late} token={term}",
            order.task,
            order.run
        );
        self.forget_lapsed_end(&order.task);
        if let Some(upstream) = self.upstreams.get_mut(id) {
            upstream.runs.insert(key, run);
            let room = upstream.room();
            self.oracle
                .begun(&self.book, id, order.task, room, late, now_ms as u64);
        }
        self.first_starts.entry(order.task.job).or_insert(now_ms);
        self.gather(key);
        Ok(clock)
    }

    fn forget_unless_noted(&mut self, task: &id::Task) {
        if !self.book.task(task).is_some_and(|task| task.done) {
            self.oracle.forget_done(task);
        }
    }

    /// An end that was not taken note of before its upstream's lease ended does not bind any more.
    fn forget_lapsed_end(&mut self, task: &id::Task) {
        let now_ms = self.now_ms;
        let lapsed = self.upstreams.values().any(|upstream| {
            let mut ends = upstream.ends.iter();
            upstream.clock_ms(now_ms) > upstream.lease_ms
                && ends.any(|end| end.task == *task && end.how == How::Done)
        });
        if lapsed {
            self.forget_unless_noted(task);
        }
    }

    /// Whether a gang that wants one rack is spread. The tasks have no data of their own in this model.
    fn is_far(&self, id: &id::Upstream, order: &Start) -> bool {
        let Some(step) = self.book.step(&order.task) else {
            return false;
        };
        let rack = |id: &id::Upstream| self.book.upstream(id).map(|upstream| upstream.rack.clone());
        let Some(progress) = self.book.progress(&order.task) else {
            return false;
        };
        let runs = progress.tasks.iter().flat_map(|task| &task.live);
        let mut racks = runs
            .filter(|run| run.number == order.run)
            .map(|run| rack(&run.upstream));
        step.gang && step.same_rack && racks.any(|other| other != rack(id))
    }

    /// Lets a task work, or a gang once all its members are there.
    fn gather(&mut self, key: (id::Task, u32)) {
        let Some(step) = self.book.step(&key.0) else {
            return;
        };
        let (gang, count) = (step.gang, usize::from(step.count));
        let now_ms = self.now_ms;
        let members = self.members(key, gang);
        if gang && members.len() < count {
            return;
        }
        for (id, member) in members {
            if let Some(upstream) = self.upstreams.get_mut(&id)
                && let Some(run) = upstream.runs.get_mut(&member)
            {
                let works = upstream.nature != Nature::Hanging;
                let factor = match upstream.nature {
                    Nature::Slow(factor) => factor * upstream.pace,
                    _ => upstream.pace,
                };
                run.work_ms *= factor;
                run.fails_at = run.fails_at.map(|at| at * factor);
                if upstream.nature == Nature::Failing {
                    run.fails_at = Some(run.done_ms + 300.0);
                }
                run.since_ms = works.then_some(now_ms);
            }
        }
    }

    fn members(&self, key: (id::Task, u32), gang: bool) -> Vec<(id::Upstream, (id::Task, u32))> {
        let same = |other: &(id::Task, u32)| {
            *other == key
                || (gang
                    && other.1 == key.1
                    && other.0.job == key.0.job
                    && other.0.occurrence == key.0.occurrence
                    && other.0.step == key.0.step)
        };
        let all = self.upstreams.iter();
        all.flat_map(|(id, upstream)| {
            let runs = upstream.runs.keys().filter(|run| same(run));
            runs.map(|run| (id.clone(), *run)).collect::<Vec<_>>()
        })
        .collect()
    }

    /// Ends what is due on the upstreams.
    fn watch(&mut self) {
        let now_ms = self.now_ms;
        let gang_ms = self.setup.settings.gang.as_secs_f64() * 1000.0;
        let mut due: Vec<(id::Upstream, (id::Task, u32), How)> = Vec::new();
        for (id, upstream) in &self.upstreams {
            let lapsed = !upstream.runs.is_empty() && upstream.clock_ms(now_ms) > upstream.lease_ms;
            for (key, run) in &upstream.runs {
                let done = run.done_at(now_ms);
                let how = if lapsed {
                    How::Lapsed
                } else if run.stops_at.is_some_and(|at| now_ms >= at) {
                    How::Stopped
                } else if run
                    .fails_at
                    .is_some_and(|at| run.since_ms.is_some() && done >= at)
                {
                    How::Failed
                } else if run.since_ms.is_some() && done >= run.work_ms {
                    How::Done
                } else if run.since_ms.is_none()
                    && upstream.nature != Nature::Hanging
                    && now_ms > run.begun_ms + gang_ms
                {
                    How::Alone
                } else {
                    continue;
                };
                due.push((id.clone(), *key, how));
            }
        }
        for (id, key, how) in due {
            self.end(&id, key, how);
        }
    }

    fn end(&mut self, id: &id::Upstream, key: (id::Task, u32), how: How) {
        let now_ms = self.now_ms;
        let Some(upstream) = self.upstreams.get_mut(id) else {
            return;
        };
        let Some((end, run)) = upstream.end(key, how, now_ms) else {
            return;
        };
        log::debug!(
            "event=model_end task={} run={} upstream={id} how={how}",
            key.0,
            key.1
        );
        let calm = self.setup.troubles.is_empty()
            && self.setup.faults.lost + self.setup.faults.late + self.setup.faults.unanswered
                == 0.0;
        self.oracle.ended(id, &end, !calm);
        self.charge(&run, how, now_ms);
        if self.waiting.contains_key(id) {
            self.answer_hold(id);
        }
        let gang = self.book.step(&key.0).is_some_and(|step| step.gang);
        if gang {
            let how = if how == How::Done {
                How::Done
            } else {
                How::Broken
            };
            for (other, member) in self.members(key, true) {
                if member != key {
                    self.end(&other, member, how);
                }
            }
        }
    }

    fn charge(&mut self, run: &Run, how: How, now_ms: f64) {
        let spent = (run.done_at(now_ms) - run.resumed_ms).max(0.0) / 1000.0 * run.room.cores();
        let saved = (run.saved_at(now_ms, how == How::Stopped) - run.resumed_ms).max(0.0) / 1000.0;
        let kept = saved * run.room.cores();
        match how {
            How::Done => self.report.useful += spent,
            How::Failed => {}
            _ => {
                self.report.useful += kept;
                self.report.waste += (spent - kept).max(0.0);
            }
        }
    }

    fn arrive(&mut self, arrival: Arrival) {
        let command = Command::Submit {
            at_ms: self.now_ms as u64,
            job: arrival.job,
            account: Some(arrival.account.clone()),
            queue: self.load.kinds[arrival.kind].queue.to_owned(),
            form: Box::new(arrival.form.clone()),
        };
        self.arrivals.insert(arrival.job, arrival);
        self.book.apply(command);
        self.step(Vec::new());
    }

    fn commit(&mut self, term: u64, ticket: u64, steps: Vec<Step>) {
        // A proposal of a former leader is committed or lost.
        if term != self.term && self.rng.random_bool(0.5) {
            return;
        }
        let at_ms = self.now_ms as u64;
        let answer = self.book.apply(Command::Progress { at_ms, steps });
        if let (true, Answer::Runs(runs)) = (term == self.term, answer) {
            self.step(vec![Event::Committed { ticket, runs }]);
        }
    }

    fn beat(&mut self) {
        let mut events = Vec::new();
        for (number, (id, upstream)) in self.upstreams.clone().iter().enumerate() {
            if self.cut.contains_key(id) {
                continue;
            }
            if self
                .book
                .upstream(id)
                .is_some_and(|known| known.born_ms != upstream.born_ms)
            {
                self.register(upstream, false, number);
            }
            events.push(Event::Heard {
                upstream: id.clone(),
                born_ms: upstream.born_ms,
                clock_ms: Some(upstream.clock_ms(self.now_ms)),
            });
        }
        self.step(events);
    }

    fn trouble(&mut self, trouble: Trouble) {
        log::debug!(
            "event=model_trouble at={:.0} trouble=\"{trouble:?}\"",
            self.now_ms
        );
        match trouble {
            Trouble::NewLeader => {
                self.term += 1;
                let now = self.base + Duration::from_micros((self.now_ms * 1000.0) as u64);
                self.engine = Engine::new(self.setup.settings.clone(), now);
                self.step(Vec::new());
            }
            Trouble::Reborn(id) => {
                let now_ms = self.now_ms;
                let Some(upstream) = self.upstreams.get_mut(&id) else {
                    return;
                };
                let gone: Vec<(id::Task, u32)> = upstream.runs.keys().copied().collect();
                let ends = std::mem::take(&mut upstream.ends);
                let lost = upstream.reborn(now_ms);
                self.oracle.lost(&id);
                for end in ends.iter().filter(|end| end.how == How::Done) {
                    self.forget_unless_noted(&end.task);
                }
                for run in lost {
                    self.charge(&run, How::Lapsed, now_ms);
                }
                for key in gone {
                    if self.book.step(&key.0).is_some_and(|step| step.gang) {
                        for (other, member) in self.members(key, true) {
                            self.end(&other, member, How::Broken);
                        }
                    }
                }
            }
            Trouble::Cut(id, for_ms) => {
                self.cut.insert(id.clone(), true);
                self.at(self.now_ms + for_ms as f64, Happening::Mend(id));
            }
            Trouble::Failing(id, for_ms) => self.change(id, Nature::Failing, for_ms),
            Trouble::Hanging(id, for_ms) => self.change(id, Nature::Hanging, for_ms),
            Trouble::Slow(id, factor) => self.change(id, Nature::Slow(factor), 8000),
            Trouble::Draining(id) => {
                let number = self.upstreams.get_index_of(&id).unwrap_or(0);
                if let Some(model) = self.upstreams.get(&id).cloned() {
                    self.register(&model, true, number);
                    self.oracle.draining(id, self.now_ms as u64);
                }
            }
            Trouble::Cancel(job) => {
                let at_ms = self.now_ms as u64;
                if self.book.apply(Command::Cancel { at_ms, job }) == Answer::Cancelled {
                    self.oracle.cancelled(job, at_ms);
                }
                self.step(Vec::new());
            }
        }
    }

    fn change(&mut self, id: id::Upstream, nature: Nature, for_ms: u64) {
        let now_ms = self.now_ms;
        if let Some(upstream) = self.upstreams.get_mut(&id) {
            upstream.set_nature(nature, now_ms);
        }
        if nature == Nature::Hanging {
            if let Some(upstream) = self.upstreams.get_mut(&id) {
                for run in upstream.runs.values_mut() {
                    run.done_ms = run.done_at(now_ms);
                    run.since_ms = None;
                }
            }
        }
        self.at(self.now_ms + for_ms as f64, Happening::Mend(id));
    }

    /// Lets runs go on that stood still.
    fn refresh_work(&mut self, id: &id::Upstream) {
        let keys: Vec<(id::Task, u32)> = match self.upstreams.get(id) {
            Some(upstream) => upstream
                .runs
                .iter()
                .filter(|(_, run)| run.since_ms.is_none())
                .map(|(key, _)| *key)
                .collect(),
            None => return,
        };
        for key in keys {
            self.gather(key);
        }
    }

    fn note_ends(&mut self) {
        let has_ended = |id: &id::Job| {
            self.book
                .job(*id)
                .is_some_and(|job| job.state != State::Open)
        };
        for id in self.arrivals.keys().filter(|id| has_ended(id)) {
            self.ended.entry(*id).or_insert(self.now_ms);
        }
    }

    /// Ends the day: checks what is shown, and adds up what was earned.
    pub fn finish(mut self) -> (Report, Oracle) {
        let jobs: Vec<id::Job> = self.arrivals.keys().copied().collect();
        self.oracle.finish(&self.book, jobs);
        let mut report = std::mem::take(&mut self.report);
        for (number, kind) in self.load.kinds.iter().enumerate() {
            let mut tally = Tally {
                queue: kind.queue,
                ..Tally::default()
            };
            for (id, arrival) in self
                .arrivals
                .iter()
                .filter(|(_, arrival)| arrival.kind == number)
            {
                let Some(job) = self.book.job(*id) else {
                    continue;
                };
                if job.state == State::Cancelled || arrival.truth.hopeless {
                    continue;
                }
                let queue = self.book.queue(&job.queue);
                let (stretch, fixed) =
                    queue.map_or((1.0, 0), |queue| (queue.stretch, queue.objective_ms));
                let objective = stretch * arrival.truth.chain_ms(job) as f64 + fixed as f64;
                let size = arrival.truth.work_ms.iter().flatten().sum::<u64>() as f64
                    * job.form.steps[0].need.cores();
                let mean = kind.width * kind.work_ms * mean_cores(kind);
                let weight = (0.3 + 0.7 * size / mean).min(4.0);
                tally.owed += 1;
                tally.worth.1 += kind.worth.0 * weight;
                if let Some(first) = self.first_starts.get(id) {
                    tally.waits_ms.push((first - arrival.at_ms as f64) as u64);
                }
                let Some(end) = self.ended.get(id).filter(|_| job.state == State::Completed) else {
                    continue;
                };
                let took = end - arrival.at_ms as f64;
                if took <= objective {
                    tally.on_time += 1;
                    tally.worth.0 += kind.worth.0 * weight;
                } else if took <= 3.0 * objective {
                    tally.late += 1;
                    tally.worth.0 += kind.worth.1 * weight;
                }
            }
            report.tallies.push(tally);
        }
        (report, self.oracle)
    }
}

fn mean_cores(kind: &crate::Kind) -> f64 {
    let count = kind.accelerators.len() as f64;
    let accelerators = kind.accelerators.iter().sum::<i64>() as f64 / count;
    kind.room.cores() + accelerators * 8.0
}

fn failed(call: u64, order: &Order) -> Event {
    let failure = Failure::NoAnswer("lost".into());
    match order {
        Order::Start(_) => Event::Started {
            call,
            answer: Err(failure),
        },
        Order::Stop(_) => Event::Stopped {
            call,
            answer: Err(failure),
        },
        Order::Hold(_) => Event::Held {
            call,
            answer: Err(failure),
        },
    }
}

fn config(load: &Load, guaranteed: i64) -> Config {
    let queues = load.kinds.iter().enumerate().map(|(number, kind)| Queue {
        name: kind.queue.to_owned(),
        host: "host".into(),
        prefix: format!("/{}/", kind.queue),
        service: "pool".into(),
        timeout_ms: 3000,
        objective_ms: [300, 1200, 3000].get(number).copied().unwrap_or(3000),
        stretch: if number == 0 { 1.5 } else { 3.0 },
        priority: number as u8,
        attempts: 4,
        public: false,
        advice: None,
    });
    let accounts = (0..4).map(|number| Account {
        name: format!("account-{number}"),
        keys: vec![format!("key-{number}")],
        guaranteed,
    });
    Config {
        version: 1,
        queues: queues.collect(),
        services: vec![Service {
            name: "pool".into(),
            ..Service::default()
        }],
        accounts: accounts.collect(),
        ..Config::default()
    }
}

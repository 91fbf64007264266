use {
    super::{
        Setup,
        deposed::Deposed,
        happening::{Happening, Order, Waiting},
        members::Group,
        setup::config,
    },
    crate::{Arrival, Load, Nature, Oracle, Report, Upstream},
    indexmap::{IndexMap, IndexSet},
    plan::engine::{Effect, Effort, Engine, Event},
    rand::{RngExt, SeedableRng, rngs::StdRng},
    std::{
        collections::BTreeMap,
        time::{Duration, Instant},
    },
    work::{
        id,
        job::Resources,
        registry::{Answer, Command, Registry, Update},
        upstream::{self, Speed, StartReport},
    },
};

/// Commit of a proposal, in milliseconds.
const COMMIT_MS: f64 = 12.0;

/// Time that the policy service takes for a decision, in milliseconds.
const ADVICE_MS: f64 = 150.0;

/// Interval of looks without an event, in milliseconds.
const TICK_MS: f64 = 50.0;

/// Interval at which the leader tells the followers the speeds.
const TELL_INTERVAL: Duration = Duration::from_secs(3);

/// Interval at which followers are told the open starts.
const TELL_STARTS_INTERVAL: Duration = Duration::from_secs(1);

/// Interval of heartbeats, in milliseconds.
const HEARTBEAT_MS: f64 = 1500.0;

/// How many times as long work takes in the slower data centre.
const SLOWER_PACE: f64 = 1.3;

/// Accelerators of an upstream, as the users state.
const ACCELERATORS: i64 = 8;

/// A day on a virtual clock.
pub struct World {
    pub(super) setup: Setup,
    pub(super) load: Load,
    pub(super) base: Instant,
    pub(super) now_ms: f64,
    pub(super) order: u64,
    pub(super) queue: BTreeMap<(u64, u64), Happening>,
    pub(super) book: Registry,
    pub(super) engine: Engine,
    /// Events that wait for the end of the engine's step.
    pub(super) pending_events: Vec<Event>,
    /// Commits that wait for the end of the engine's step, which reads the registry.
    pub(super) pending_commits: Vec<(u64, u64, Vec<Update>)>,
    /// Whether the engine's step is not over.
    pub(super) is_busy: bool,
    effort: Effort,
    /// Speeds that the followers know, and when the leader has told them.
    pub(super) told_speeds: Option<(Vec<Speed>, Instant)>,
    /// Open starts as the leader has told them, and when.
    pub(super) told_starts: Option<(StartReport, Instant)>,
    /// Revision of the registry up to which ended jobs were noted.
    pub(super) noted_revision: u64,
    pub(super) term: u64,
    /// Terms of which a proposal was lost.
    lost_from_term: IndexSet<u64>,
    pub(super) upstreams: IndexMap<id::Upstream, Upstream>,
    pub(super) waiting: IndexMap<id::Upstream, Waiting>,
    pub(super) cut: IndexMap<id::Upstream, bool>,
    /// Upstreams that leaders from a term on can't reach.
    pub(super) cut_from_term: IndexMap<id::Upstream, u64>,
    /// Upstreams that have begun to leave, and those that have ended.
    pub(super) departing: IndexSet<id::Upstream>,
    pub(super) departed: IndexSet<id::Upstream>,
    /// Leaders that were replaced and go on.
    pub(super) deposed: Vec<Deposed>,
    /// How long the leader stands still and goes on, once it has decided on a start.
    pub(super) freezing: Option<(u64, u64)>,
    /// Whether no instance leads.
    pub(super) is_vacant: bool,
    pub(super) group: Option<Group>,
    /// Times in milliseconds until which upstreams are cold.
    pub(super) cold: IndexMap<id::Upstream, f64>,
    /// Runs whose stops were held up.
    pub(super) late_stops: IndexSet<(id::Task, u32)>,
    pub(super) arrivals: IndexMap<id::Job, Arrival>,
    pub(super) first_starts: IndexMap<id::Job, f64>,
    pub(super) ended: IndexMap<id::Job, f64>,
    pub(super) rng: StdRng,
    pub(super) report: Report,
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
            pending_events: Vec::new(),
            pending_commits: Vec::new(),
            is_busy: false,
            effort: Effort::default(),
            told_speeds: None,
            told_starts: None,
            noted_revision: 0,
            load,
            base,
            now_ms: 0.0,
            order: 0,
            queue: BTreeMap::new(),
            book: Registry::default(),
            term: 1,
            lost_from_term: IndexSet::new(),
            upstreams: IndexMap::new(),
            waiting: IndexMap::new(),
            cut: IndexMap::new(),
            cut_from_term: IndexMap::new(),
            departing: IndexSet::new(),
            departed: IndexSet::new(),
            deposed: Vec::new(),
            freezing: None,
            is_vacant: false,
            group: setup.members.map(|members| Group::new(members, setup.seed)),
            cold: IndexMap::new(),
            late_stops: IndexSet::new(),
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

    pub(super) fn open(&mut self) {
        let config = Box::new(config(&self.load, &self.setup));
        self.book.apply(Command::Configure { at_ms: 0, config });
        for number in 0..self.setup.upstreams {
            let id = id::Upstream::from(format!("u{number}"));
            let rate = 1.0 - 0.02 * self.rng.random::<f64>();
            let longest_ms = self.setup.settings.max_lease.as_millis() as u64;
            let mut model = Upstream::new(id.clone(), rate, longest_ms);
            let speeds = &self.setup.speeds;
            if !speeds.is_empty() {
                model.pace = 1.0 / speeds[number % speeds.len()];
            } else if number * 3 >= self.setup.upstreams * 2 {
                // The users' third data centre has slower machines.
                model.pace = SLOWER_PACE;
            }
            self.register(&model, None, number);
            self.upstreams.insert(id, model);
        }
        self.at(0.0, Happening::Tick);
        self.at(0.0, Happening::Heartbeat);
        self.at(0.0, Happening::Watch);
        for arrival in self.load.draw(self.setup.seed, self.setup.accounts) {
            self.at(arrival.at_ms as f64, Happening::Arrive(Box::new(arrival)));
        }
        for (at_ms, trouble) in self.setup.troubles.clone() {
            self.at(at_ms as f64, Happening::Trouble(trouble));
        }
    }

    /// Registers an upstream; `leaving_ms` is set if it drains.
    pub(super) fn register(&mut self, model: &Upstream, leaving_ms: Option<u64>, number: usize) {
        let rack = format!("r{}", number / self.setup.rack);
        let upstream = Box::new(upstream::Upstream {
            id: model.id.clone(),
            born_ms: model.born_ms,
            address: model.id.to_string(),
            data_centre: format!("dc{}", number * 3 / self.setup.upstreams),
            service: "pool".into(),
            capacity: Resources {
                cpu_milli: self.setup.cpu_milli,
                memory_mb: self.setup.memory_mb,
                accelerators: ACCELERATORS,
            },
            labels: vec!["a".into(), rack.clone()],
            rack,
            draining: leaving_ms.is_some(),
            leaving_ms,
        });
        self.book.apply(Command::Register { upstream });
    }

    pub(super) fn at(&mut self, at_ms: f64, happening: Happening) {
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

    /// Speeds of the upstreams, as far as the leader has learned them.
    pub fn speeds(&self) -> &plan::learn::Speeds {
        self.engine.speeds()
    }

    /// The registry as it is now.
    pub fn book(&self) -> &Registry {
        &self.book
    }

    pub(super) fn happen(&mut self, happening: Happening) {
        match happening {
            Happening::Tick => {
                self.at(self.now_ms + TICK_MS, Happening::Tick);
                self.step(Vec::new());
                self.tick_deposed();
            }
            Happening::Heartbeat => {
                self.at(self.now_ms + HEARTBEAT_MS, Happening::Heartbeat);
                self.hear_upstreams();
            }
            Happening::Arrive(arrival) => self.arrive(*arrival),
            Happening::Commit {
                term,
                proposal,
                updates,
            } => self.commit(term, proposal, updates),
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
                } else {
                    self.step_deposed(term, Some(event));
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
            Happening::StepDone { term, effects } if term == self.term => {
                self.is_busy = false;
                for effect in effects {
                    self.perform(term, effect);
                }
                for (term, proposal, updates) in std::mem::take(&mut self.pending_commits) {
                    self.commit(term, proposal, updates);
                }
                self.step(Vec::new());
            }
            Happening::StepDone { .. } => {}
            Happening::Watch => {
                self.at(self.now_ms + 5.0, Happening::Watch);
                self.watch();
            }
            Happening::Trouble(trouble) => self.trouble(trouble),
            Happening::Mend(id) if self.departed.contains(&id) => {}
            Happening::Mend(id) => {
                self.cut_from_term.shift_remove(&id);
                self.cut.shift_remove(&id);
                let now_ms = self.now_ms;
                if let Some(upstream) = self.upstreams.get_mut(&id) {
                    upstream.set_nature(Nature::Sound, now_ms);
                }
                self.refresh_work(&id);
            }
            Happening::Elected if self.is_vacant => self.take_over(),
            Happening::Elected => {}
            Happening::Thawed { term } => self.thaw(term),
            Happening::Told { member, report } => self.tell(member, report),
            Happening::Deregister(leaving) => self.deregister(leaving),
            Happening::Departed(id) => self.depart(id),
        }
    }

    pub(super) fn instant(&self) -> Instant {
        self.base + Duration::from_micros((self.now_ms * 1000.0) as u64)
    }

    pub(super) fn step(&mut self, events: Vec<Event>) {
        if self.is_vacant {
            return;
        }
        let now = self.instant();
        log::trace!("event=model_step at={:.0}", self.now_ms);
        self.pending_events.extend(events);
        if self.is_busy {
            return;
        }
        let events = std::mem::take(&mut self.pending_events);
        let event_count = events.len();
        let effects = self
            .engine
            .step(events, &self.book, now, self.now_ms as u64);
        let effort = self.engine.take_effort();
        self.effort += effort;
        self.tell_speeds(now);
        self.tell_starts(now);
        self.note_ends();
        let starts = |effect: &Effect| matches!(effect, Effect::Start { .. });
        if let Some((for_ms, on_ms)) = self.freezing
            && effects.iter().any(starts)
        {
            self.freeze(for_ms, on_ms, effects);
            return;
        }
        let processor = self.setup.processor;
        let took = processor.per_entry.mul_f64(effort.total() as f64)
            + processor.per_event * (event_count + effects.len()) as u32;
        if took.is_zero() {
            let term = self.term;
            for effect in effects {
                self.perform(term, effect);
            }
            return;
        }
        if effort.rounds > 0 {
            self.engine.record_round(took);
        }
        self.is_busy = true;
        let term = self.term;
        let done_ms = self.now_ms + took.as_secs_f64() * 1000.0;
        self.at(done_ms, Happening::StepDone { term, effects });
    }

    /// Tells the followers the speeds, at an interval.
    fn tell_speeds(&mut self, now: Instant) {
        let told = self.told_speeds.as_ref();
        if self.setup.keeps_speeds && told.is_none_or(|(_, at)| now >= *at + TELL_INTERVAL) {
            self.told_speeds = Some((self.engine.speeds().learned(now), now));
        }
    }

    /// Tells the followers the open starts, at an interval.
    fn tell_starts(&mut self, now: Instant) {
        if self.group.is_some() {
            self.tell_members(now);
            return;
        }
        let told = self.told_starts.as_ref();
        if told.is_none_or(|(_, at)| now >= *at + TELL_STARTS_INTERVAL) {
            self.told_starts = Some((self.engine.start_report(&self.book), now));
        }
    }

    /// What the engine's steps have examined since the previous call.
    pub fn take_effort(&mut self) -> Effort {
        std::mem::take(&mut self.effort)
    }

    pub(super) fn perform(&mut self, term: u64, effect: Effect) {
        match effect {
            // What a replaced leader proposes is not committed.
            Effect::Propose { proposal, .. } if term != self.term => {
                let event = Event::ProposalFailed { proposal };
                self.at(self.now_ms + COMMIT_MS, Happening::Answer { term, event });
            }
            Effect::Propose { proposal, updates } => {
                self.at(
                    self.now_ms + COMMIT_MS,
                    Happening::Commit {
                        term,
                        proposal,
                        updates,
                    },
                );
            }
            Effect::Hold {
                call,
                target,
                order,
            } => self.send(term, call, target, Order::Hold(order)),
            Effect::Start {
                call,
                target,
                order,
            } => self.send(term, call, target, Order::Start(order)),
            Effect::Stop {
                call,
                target,
                order,
            } => self.send(term, call, target, Order::Stop(order)),
            // The policy service allows everything.
            Effect::Advise {
                call, upstreams, ..
            } => {
                let rows = upstreams.into_iter().map(|id| (id, "ticket".to_owned()));
                let answer = Ok(rows.collect());
                let event = Event::AdviceAnswered { call, answer };
                self.at(self.now_ms + ADVICE_MS, Happening::Answer { term, event });
            }
        }
    }

    pub(super) fn arrive(&mut self, arrival: Arrival) {
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

    pub(super) fn commit(&mut self, term: u64, proposal: u64, updates: Vec<Update>) {
        if self.is_busy {
            self.pending_commits.push((term, proposal, updates));
            return;
        }
        // A proposal of a former leader is committed or lost, and with it those that follow in the log.
        if term != self.term {
            let is_lost = self.rng.random_bool(0.5);
            if is_lost {
                self.lost_from_term.insert(term);
            }
            if self.lost_from_term.contains(&term) {
                return;
            }
        }
        let at_ms = self.now_ms as u64;
        let answer = self.book.apply(Command::Progress {
            at_ms,
            steps: updates,
        });
        if let (true, Answer::Runs(runs)) = (term == self.term, answer) {
            self.step(vec![Event::ProposalCommitted { proposal, runs }]);
        }
    }

    pub(super) fn hear_upstreams(&mut self) {
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
                self.register(upstream, None, number);
            }
            events.push(Event::HeartbeatReceived {
                upstream: id.clone(),
                born_ms: upstream.born_ms,
                clock_ms: Some(upstream.clock_ms(self.now_ms)),
            });
            if let Some(until_ms) = self.cold.get(id).filter(|until| **until > self.now_ms) {
                events.push(Event::UpstreamCold {
                    upstream: id.clone(),
                    born_ms: upstream.born_ms,
                    remaining: Duration::from_secs_f64((until_ms - self.now_ms) / 1000.0),
                });
            }
        }
        self.step(events);
    }
}

use {
    crate::leader::{registry, sweep_task},
    plan::engine::{
        Effect, Engine, Event, Failure, Hold, Listing, Refusal, Running, Settings, Start, Stop,
        Target,
    },
    std::time::{Duration, Instant},
    work::{
        id,
        registry::{Answer, Blame, Command, Registry, Update, Void},
        upstream::{End, Outcome, StartReport},
    },
};

/// Interval between two steps of the engine.
pub const STEP_MS: u64 = 20;

/// Interval at which the followers are told the open starts.
const TELL_INTERVAL_MS: u64 = 1000;

/// Time of day at the start.
pub const EPOCH_MS: u64 = 1_000_000_000;

/// Clock of the first incarnation at the start.
pub const FIRST_CLOCK_MS: u64 = 60_000;

/// Longest lease that an upstream accepts.
pub const MAX_LEASE_MS: u64 = 6000;

/// The leader has been in office for longer than calls can be late.
pub const CRASH_MS: u64 = 25_000;
pub const RESTART_MS: u64 = 25_600;
pub const CUT_MS: u64 = 27_600;

/// When a late call is carried out.
pub const LATE_MS: u64 = 30_700;

/// Upstream `a`, which restarts under its id.
pub struct Node {
    pub born_ms: u64,
    /// When its clock was 0; before the start of the test for the first incarnation.
    pub clock_start_ms: i64,
    pub token: u64,
    pub lease_until_ms: u64,
    pub running: Option<(id::Task, u32)>,
    /// Highest run that was ordered to stop before it was there.
    pub barred: u32,
    pub ends: Vec<End>,
    /// Number of the last end that the leader has released.
    pub released: u64,
}

impl Node {
    pub fn clock_ms(&self, now_ms: u64) -> u64 {
        (now_ms as i64 - self.clock_start_ms) as u64
    }

    pub fn extend(&mut self, until_ms: u64, now_ms: u64) {
        let longest = self.clock_ms(now_ms) + MAX_LEASE_MS;
        self.lease_until_ms = self.lease_until_ms.max(until_ms.min(longest));
    }

    pub fn is_at_work(&self, now_ms: u64) -> bool {
        self.running.is_some() && self.clock_ms(now_ms) < self.lease_until_ms
    }

    pub fn hold(&mut self, order: &Hold, token: u64, now_ms: u64) -> Result<Listing, Failure> {
        if token < self.token {
            return Err(Failure::Refused(Refusal::Fenced));
        }
        self.token = token;
        if let Some(until_ms) = order.lease_until_ms {
            self.extend(until_ms, now_ms);
        }
        self.released = self.released.max(order.last_end);
        self.ends.retain(|end| end.number > order.last_end);
        let running = self.running.iter().map(|(task, run)| Running {
            task: *task,
            run: *run,
            checkpoint: String::new(),
            percent: (now_ms / 300 % 100) as u8,
        });
        Ok(Listing {
            born_ms: Some(self.born_ms),
            clock_ms: Some(self.clock_ms(now_ms)),
            running: running.collect(),
            ended: self.ends.clone(),
            ..Listing::default()
        })
    }

    /// Ends what is running.
    pub fn end(&mut self, how: Outcome) {
        let (task, run) = self.running.take().expect("a task is running");
        self.barred = self.barred.max(run);
        self.ends.push(End {
            number: self.ends.len() as u64 + 1,
            task,
            run,
            how,
            checkpoint: String::new(),
        });
    }

    pub fn start(
        &mut self,
        order: &Start,
        token: u64,
        now_ms: u64,
    ) -> Result<Option<u64>, Failure> {
        if token < self.token {
            return Err(Failure::Refused(Refusal::Fenced));
        }
        self.token = token;
        self.extend(order.lease_until_ms, now_ms);
        if order.run <= self.barred {
            return Err(Failure::Refused(Refusal::Old));
        }
        self.running = Some((order.task, order.run));
        Ok(Some(self.clock_ms(now_ms)))
    }

    pub fn stop(&mut self, order: Stop, token: u64, now_ms: u64) -> Result<Option<u64>, Failure> {
        if token < self.token {
            return Err(Failure::Refused(Refusal::Fenced));
        }
        self.token = token;
        self.barred = self.barred.max(order.run);
        if self.running == Some((order.task, order.run)) {
            self.running = None;
        }
        Ok(Some(self.clock_ms(now_ms)))
    }
}

/// A call to `a` that had no answer.
pub enum Call {
    Hold(Hold),
    Start(Start),
}

/// A leader, upstream `a`, and upstream `b`, which is full with other work.
pub struct Scene {
    pub registry: Registry,
    pub engine: Engine,
    pub term: u64,
    pub origin: Instant,
    pub now_ms: u64,
    pub node: Node,
    /// Whether calls reach `a`.
    pub is_reachable: bool,
    /// Whether starts reach `a`.
    pub takes_starts: bool,
    /// Whether `a` starts again, of which nobody hears, before it carries out the next start, and is cut off after it.
    pub restarts_before_start: bool,
    /// Time by which the group's time of day is ahead of that of the upstreams.
    pub ahead_ms: u64,
    pub events: Vec<Event>,
    /// The latest call to `a` without an answer, with its token.
    pub unanswered: Option<(Call, u64)>,
    /// Tokens of the calls to `a` since its incarnation began.
    pub tokens: Vec<u64>,
    /// Job of which the proposals to place it stay without an outcome.
    pub withheld: Option<id::Job>,
    /// What the followers know of the starts, and when they were told.
    pub told: Option<(StartReport, Instant)>,
    /// When the leader took the run on `a` to be over because of its lease.
    pub lapsed_ms: Option<u64>,
}

impl Scene {
    /// A scene in which `a` runs the sweep job.
    pub fn new() -> Scene {
        let origin = Instant::now();
        let mut scene = Scene {
            registry: registry(),
            engine: Engine::new(Settings::default(), origin),
            term: 7 << 32,
            origin,
            now_ms: 0,
            node: Node {
                born_ms: 1,
                clock_start_ms: -(FIRST_CLOCK_MS as i64),
                token: 0,
                lease_until_ms: FIRST_CLOCK_MS + MAX_LEASE_MS,
                running: Some((sweep_task(), 1)),
                barred: 0,
                ends: vec![],
                released: 0,
            },
            is_reachable: true,
            takes_starts: true,
            restarts_before_start: false,
            ahead_ms: 0,
            events: vec![],
            unanswered: None,
            tokens: vec![],
            withheld: None,
            told: None,
            lapsed_ms: None,
        };
        scene.run_until(100);
        scene
    }

    pub fn run_until(&mut self, end_ms: u64) {
        while self.now_ms < end_ms {
            if self.now_ms.is_multiple_of(1000) {
                self.beat();
            }
            let now = self.origin + Duration::from_millis(self.now_ms);
            let events = std::mem::take(&mut self.events);
            let at_ms = EPOCH_MS + self.ahead_ms + self.now_ms;
            let effects = self.engine.step(events, &self.registry, now, at_ms);
            for effect in effects {
                self.carry_out(effect);
            }
            self.now_ms += STEP_MS;
        }
    }

    pub fn beat(&mut self) {
        let mut beating = vec![("b", 1, self.now_ms)];
        if self.is_reachable {
            let node = &self.node;
            beating.push(("a", node.born_ms, node.clock_ms(self.now_ms)));
        }
        for (name, born_ms, clock_ms) in beating {
            self.events.push(Event::HeartbeatReceived {
                upstream: name.into(),
                born_ms,
                clock_ms: Some(clock_ms),
            });
        }
    }

    pub fn carry_out(&mut self, effect: Effect) {
        let now_ms = self.now_ms;
        let lost = || Failure::NoAnswer("cut off".into());
        let event = match effect {
            Effect::Propose { updates, .. } if self.is_withheld(&updates) => return,
            Effect::Propose { proposal, updates } => self.commit(proposal, updates),
            Effect::Hold {
                call,
                target,
                order,
            } if target.upstream == "a".into() => {
                let token = self.token(&target);
                let answer = match self.is_reachable {
                    true => self.node.hold(&order, token, now_ms),
                    false => Err(lost()),
                };
                if answer.is_err() && order.lease_until_ms.is_some() {
                    self.unanswered = Some((Call::Hold(order), token));
                }
                Event::HoldAnswered { call, answer }
            }
            Effect::Start {
                call,
                target,
                order,
            } if target.upstream == "a".into() => {
                let is_cut = std::mem::take(&mut self.restarts_before_start);
                if is_cut {
                    self.restart_unseen();
                }
                let token = self.token(&target);
                let answer = match self.is_reachable && self.takes_starts {
                    true => self.node.start(&order, token, now_ms),
                    false => Err(lost()),
                };
                self.is_reachable &= !is_cut;
                if answer.is_err() {
                    self.unanswered = Some((Call::Start(order), token));
                }
                Event::StartAnswered { call, answer }
            }
            Effect::Hold { call, .. } => Event::HoldAnswered {
                call,
                answer: Ok(self.listing_of_other()),
            },
            Effect::Start { call, .. } => Event::StartAnswered {
                call,
                answer: Ok(Some(now_ms)),
            },
            Effect::Stop {
                call,
                target,
                order,
            } if target.upstream == "a".into() && self.is_reachable => {
                let token = self.token(&target);
                let answer = self.node.stop(order, token, now_ms);
                Event::StopAnswered { call, answer }
            }
            Effect::Stop { call, .. } => Event::StopAnswered {
                call,
                answer: Err(lost()),
            },
            Effect::Advise { .. } => return,
        };
        self.events.push(event);
    }

    pub fn listing_of_other(&self) -> Listing {
        let other = "b".into();
        let running = self.registry.allocations_on(&other);
        let running = running.map(|((task, run), _)| Running {
            task: *task,
            run: *run,
            checkpoint: String::new(),
            percent: (self.now_ms / 300 % 100) as u8,
        });
        Listing {
            born_ms: Some(1),
            clock_ms: Some(self.now_ms),
            running: running.collect(),
            ..Listing::default()
        }
    }

    pub fn token(&mut self, target: &Target) -> u64 {
        let token = self.term + target.token_offset;
        self.tokens.push(token);
        token
    }

    pub fn commit(&mut self, proposal: u64, steps: Vec<Update>) -> Event {
        let is_lapsed = |update: &Update| matches!(update, Update::Void { task, reason: Void::Lapsed, .. } if *task == sweep_task());
        if steps.iter().any(is_lapsed) {
            self.lapsed_ms.get_or_insert(self.now_ms);
        }
        let at_ms = EPOCH_MS + self.now_ms;
        match self.registry.apply(Command::Progress { at_ms, steps }) {
            Answer::Runs(runs) => Event::ProposalCommitted { proposal, runs },
            other => unreachable!("{other:?}"),
        }
    }

    /// Ends the incarnation of `a` without a last message.
    pub fn crash(&mut self) {
        self.is_reachable = false;
        self.node.running = None;
    }

    /// Begins the next incarnation of `a` and registers it.
    pub fn restart(&mut self) {
        self.restart_unseen();
        self.is_reachable = true;
        let known = self.registry.upstream(&"a".into()).cloned();
        let mut upstream = known.expect("the upstream is known");
        upstream.born_ms = self.node.born_ms;
        self.registry.apply(Command::Register {
            upstream: Box::new(upstream),
        });
        self.beat();
    }

    /// Begins the next incarnation of `a`, of which nobody hears.
    pub fn restart_unseen(&mut self) {
        self.tokens.clear();
        self.node = Node {
            born_ms: EPOCH_MS + self.now_ms,
            clock_start_ms: self.now_ms as i64,
            token: 0,
            lease_until_ms: 0,
            running: None,
            barred: 0,
            ends: vec![],
            released: 0,
        };
    }

    /// Replaces the leader; the next one has a higher term.
    pub fn replace_leader(&mut self) {
        self.events.clear();
        self.term += 1 << 32;
        let now = self.origin + Duration::from_millis(self.now_ms);
        self.engine = Engine::new(Settings::default(), now);
    }

    /// Replaces the leader by one that has been told which starts are open.
    pub fn hand_over(&mut self) {
        let report = self.engine.start_report(&self.registry);
        self.replace_leader();
        let now = self.origin + Duration::from_millis(self.now_ms);
        self.engine.inherit_starts(&report, now);
    }

    fn is_withheld(&self, updates: &[Update]) -> bool {
        let placements = updates.iter().flat_map(|update| match update {
            Update::Assign(placements) => placements.as_slice(),
            _ => &[],
        });
        let mut jobs = placements.map(|placement| placement.task.job);
        jobs.any(|job| Some(job) == self.withheld)
    }

    /// Tells the followers which starts are open. They keep what covers more.
    pub fn tell(&mut self) {
        let report = self.engine.start_report(&self.registry);
        let now = self.origin + Duration::from_millis(self.now_ms);
        let known = self.told.as_ref().map(|(known, _)| known.covered_ms);
        if known.is_none_or(|known| report.covered_ms >= known) {
            self.told = Some((report, now));
        }
    }

    /// Tells the followers at an interval while the leader runs.
    pub fn tell_until(&mut self, end_ms: u64) {
        while self.now_ms < end_ms {
            self.run_until(end_ms.min(self.now_ms + TELL_INTERVAL_MS));
            self.tell();
        }
    }

    /// Replaces the leader by one of the followers.
    pub fn promote_follower(&mut self) {
        self.replace_leader();
        if let Some((report, at)) = &self.told {
            self.engine.inherit_starts(report, *at);
        }
    }

    /// Carries out a call to `a` that has had no answer.
    pub fn carry_out_late(&mut self, (call, token): (Call, u64)) {
        match call {
            Call::Hold(order) => drop(self.node.hold(&order, token, self.now_ms)),
            Call::Start(order) => drop(self.node.start(&order, token, self.now_ms)),
        }
    }

    /// Ends the work on `b`.
    pub fn empty_other(&mut self) {
        let other = "b".into();
        let runs = self.registry.allocations_on(&other).map(|(key, _)| *key);
        let at_ms = EPOCH_MS + self.now_ms;
        for (task, run) in runs.collect::<Vec<_>>() {
            let job = task.job;
            self.registry.apply(Command::Cancel { at_ms, job });
            self.commit(
                0,
                vec![Update::Void {
                    task,
                    run,
                    reason: Void::Absent,
                    checkpoint: String::new(),
                    blame: Blame::None,
                }],
            );
        }
    }

    /// Fails if the leader begins the task elsewhere while it is at work on `a`.
    pub fn assert_not_begun_elsewhere(&mut self) {
        while self.node.is_at_work(self.now_ms) {
            let runs = self.registry.task(&sweep_task()).map(|task| &task.live);
            let elsewhere =
                runs.and_then(|runs| runs.iter().find(|run| run.upstream == "b".into()));
            assert_eq!(elsewhere, None, "at {} ms", self.now_ms);
            self.run_until(self.now_ms + STEP_MS);
        }
    }

    /// Runs until the leader takes the run on `a` to be over; fails if it is still at work then.
    pub fn assert_over_once_given_up(&mut self) {
        while self.lapsed_ms.is_none() {
            assert!(self.now_ms < 80_000, "the run is never given up");
            self.run_until(self.now_ms + STEP_MS);
        }
        let at_ms = self.now_ms;
        let left_ms = self.node.lease_until_ms as i64 - self.node.clock_ms(at_ms) as i64;
        assert!(
            !self.node.is_at_work(at_ms),
            "given up at {at_ms} ms, {left_ms} ms before the end of its lease"
        );
    }
}

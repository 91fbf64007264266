use {
    super::{
        Observer, Permit, SpeedMemory, StartMemory, TermEngine, UpstreamClient,
        step_times::StepTimes,
    },
    crate::{control::Replica, time::MedianClock},
    model::clock::Clock,
    plan::engine::{Effect, Engine, Event, FleetReport, LoadReport, Settings},
    std::{
        panic::{self, AssertUnwindSafe},
        sync::{Arc, Mutex, MutexGuard, PoisonError},
        time::{Duration, Instant},
    },
    tokio::{sync::mpsc, time},
    wire::Verdict,
    work::registry::{Answer, Command},
};

/// Longest wait for an event before the engine runs anyway. It bounds the delay of retries, and of new work for which
/// no event was sent.
const TICK_INTERVAL: Duration = Duration::from_millis(50);

/// Interval between two attempts to hand leadership over after the engine has panicked.
const HAND_OVER_INTERVAL: Duration = Duration::from_millis(500);

/// Limit of events that one step of the engine handles besides the first.
const MAX_BATCH: usize = 4096;

/// An event for the engine of a term.
pub(crate) struct Input {
    /// Term of the engine; 0 stands for the current one. Events of other terms are dropped.
    pub term: u64,
    pub event: Event,
    /// Time at which the event was queued.
    pub queued_at: Instant,
}

/// Runs the engine and performs its effects while the replica leads.
pub struct Driver {
    pub(crate) replica: Replica,
    pub(crate) upstream_client: Arc<dyn UpstreamClient>,
    pub(crate) clock: Arc<dyn Clock>,
    pub(crate) median_clock: Arc<Mutex<MedianClock>>,
    pub(crate) speed_memory: Arc<Mutex<SpeedMemory>>,
    pub(crate) start_memory: Arc<Mutex<StartMemory>>,
    pub(crate) settings: Settings,
    pub(crate) inputs: mpsc::UnboundedSender<Input>,
    pub(crate) observer: Arc<dyn Observer>,
}

/// Queue of the engine's inputs, for calls and proposals of one term.
#[derive(Clone)]
struct Queue {
    term: u64,
    inputs: mpsc::UnboundedSender<Input>,
    clock: Arc<dyn Clock>,
}

/// Permits orders as long as this instance leads in their term.
struct TermPermit {
    replica: Replica,
    term: u64,
}

impl Permit for TermPermit {
    fn is_valid(&self) -> bool {
        self.replica.leading_term() == Some(self.term)
    }
}

impl Queue {
    fn push(&self, event: Event) {
        let input = Input {
            term: self.term,
            event,
            queued_at: self.clock.now(),
        };
        drop(self.inputs.send(input));
    }
}

impl Driver {
    /// Processes events until the channel is closed.
    pub(crate) async fn run(self, mut events: mpsc::UnboundedReceiver<Input>) {
        let mut term_engine = TermEngine::default();
        let times = Arc::new(Mutex::new(StepTimes::default()));
        loop {
            let mut oldest = None;
            let mut push = |input: Input| {
                oldest.get_or_insert(input.queued_at);
                term_engine.push(input.term, input.event);
            };
            match time::timeout(TICK_INTERVAL, events.recv()).await {
                Ok(Some(input)) => push(input),
                Ok(None) => return,
                Err(_) => {}
            }
            for _ in 0..MAX_BATCH {
                let Ok(input) = events.try_recv() else {
                    break;
                };
                push(input);
            }
            let step = AssertUnwindSafe(|| self.step_engine(&mut term_engine, oldest, &times));
            if panic::catch_unwind(step).is_err() {
                term_engine.fail();
            }
            if term_engine.has_failed(self.replica.leading_term()) {
                log::error!("event=engine_failed action=hand_over");
                self.replica.transfer_leadership();
                time::sleep(HAND_OVER_INTERVAL).await;
            }
        }
    }

    /// Steps the engine of the current term; `oldest` is the time at which the oldest of its events was queued.
    fn step_engine(
        &self,
        term_engine: &mut TermEngine,
        oldest: Option<Instant>,
        times: &Arc<Mutex<StepTimes>>,
    ) {
        let now = self.clock.now();
        let new_engine = || {
            let mut engine = Engine::new(self.settings.clone(), now);
            self.speed_memory().hand_over(&mut engine, now);
            self.start_memory().hand_over(&mut engine);
            engine
        };
        let Some((term, engine, events)) =
            term_engine.for_term(self.replica.leading_term(), new_engine)
        else {
            self.observer.record_leftovers(&[]);
            self.observer.record_fleet(&FleetReport::default());
            self.observer.record_load(&LoadReport::default());
            return;
        };
        let Some(state) = self.replica.state() else {
            return;
        };
        let median_clock = self
            .median_clock
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        let time_ms = median_clock.now_ms(now);
        drop(median_clock);
        let event_age = oldest.map_or(Duration::ZERO, |oldest| {
            now.saturating_duration_since(oldest)
        });
        let event_count = events.len();
        let effects = engine.step(events, &state.registry(), now, time_ms);
        let took = self.clock.now().saturating_duration_since(now);
        self.observer.record_step(took, event_age);
        self.speed_memory().copy(engine, now);
        self.start_memory()
            .copy(engine, &state.registry(), term, now);
        if let Some(leftovers) = engine.take_leftovers() {
            self.observer.record_leftovers(&leftovers);
        }
        if let Some(report) = engine.take_fleet_report() {
            self.observer.record_fleet(&report);
        }
        if let Some(report) = engine.take_load_report() {
            self.observer.record_load(&report);
        }
        let mut step_times = times.lock().unwrap_or_else(PoisonError::into_inner);
        let effort = engine.take_effort();
        if effort.rounds > 0 {
            engine.record_round(took);
        }
        step_times.record_step(took, event_age, event_count, effort);
        step_times.report(now);
        drop(step_times);
        for effect in effects {
            self.perform(term, effect, time_ms, times);
        }
    }

    fn speed_memory(&self) -> MutexGuard<'_, SpeedMemory> {
        let memory = self.speed_memory.lock();
        memory.unwrap_or_else(PoisonError::into_inner)
    }

    fn start_memory(&self) -> MutexGuard<'_, StartMemory> {
        let memory = self.start_memory.lock();
        memory.unwrap_or_else(PoisonError::into_inner)
    }

    fn perform(&self, term: u64, effect: Effect, time_ms: u64, times: &Arc<Mutex<StepTimes>>) {
        let queue = Queue {
            term,
            inputs: self.inputs.clone(),
            clock: self.clock.clone(),
        };
        let permit = Arc::new(TermPermit {
            replica: self.replica.clone(),
            term,
        });
        match effect {
            Effect::Propose { proposal, updates } => {
                let replica = self.replica.clone();
                let observer = self.observer.clone();
                let times = times.clone();
                let proposed_at = self.clock.now();
                let command = Command::Progress {
                    at_ms: time_ms,
                    steps: updates,
                };
                tokio::spawn(async move {
                    let event = match replica.propose(&command).await {
                        Ok(Answer::Runs(runs)) => Event::ProposalCommitted { proposal, runs },
                        Ok(_) => Event::ProposalFailed { proposal },
                        Err(verdict) => {
                            log_dropped(proposal, &verdict);
                            Event::ProposalFailed { proposal }
                        }
                    };
                    let took = queue.clock.now().saturating_duration_since(proposed_at);
                    observer.record_proposal(took);
                    let mut times = times.lock().unwrap_or_else(PoisonError::into_inner);
                    times.record_proposal(took);
                    drop(times);
                    queue.push(event);
                });
            }
            Effect::Hold {
                call,
                target,
                order,
            } => {
                let token = term + target.token_offset;
                let answer = self.upstream_client.hold(target, token, permit, order);
                tokio::spawn(async move {
                    let answer = answer.await;
                    queue.push(Event::HoldAnswered { call, answer });
                });
            }
            Effect::Start {
                call,
                target,
                order,
            } => {
                let token = term + target.token_offset;
                let answer = self.upstream_client.start(target, token, permit, order);
                tokio::spawn(async move {
                    let answer = answer.await;
                    queue.push(Event::StartAnswered { call, answer });
                });
            }
            Effect::Stop {
                call,
                target,
                order,
            } => {
                let token = term + target.token_offset;
                let answer = self.upstream_client.stop(target, token, permit, order);
                tokio::spawn(async move {
                    let answer = answer.await;
                    queue.push(Event::StopAnswered { call, answer });
                });
            }
            Effect::Advise {
                call,
                step,
                upstreams,
            } => {
                let answer = self.upstream_client.advise(step, upstreams);
                tokio::spawn(async move {
                    let answer = answer.await;
                    queue.push(Event::AdviceAnswered { call, answer });
                });
            }
        }
    }
}

fn log_dropped(proposal: u64, verdict: &Verdict) {
    log::warn!("event=proposal_dropped ticket={proposal} outcome=\"{verdict:?}\"");
}

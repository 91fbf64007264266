use {
    super::{TermEngine, UpstreamClient},
    crate::{control::Replica, time::MedianClock},
    model::clock::Clock,
    plan::engine::{Effect, Engine, Event, Settings},
    std::{
        sync::{Arc, Mutex, PoisonError},
        time::Duration,
    },
    tokio::{sync::mpsc, time},
    wire::Verdict,
    work::registry::{Answer, Command},
};

/// Longest wait for an event before the engine runs anyway. It bounds the delay of retries, and of new work for which
/// no event was sent.
const TICK_INTERVAL: Duration = Duration::from_millis(50);

/// Limit of events that one step of the engine handles besides the first.
const MAX_BATCH: usize = 4096;

/// A term and an event for its engine; term 0 stands for the current one. Events of other terms are dropped.
pub(crate) type Input = (u64, Event);

/// Runs the engine and performs its effects while the replica leads.
pub struct Driver {
    pub(crate) replica: Replica,
    pub(crate) upstream_client: Arc<dyn UpstreamClient>,
    pub(crate) clock: Arc<dyn Clock>,
    pub(crate) median_clock: Arc<Mutex<MedianClock>>,
    pub(crate) settings: Settings,
    pub(crate) inputs: mpsc::UnboundedSender<Input>,
}

impl Driver {
    /// Processes events until the channel is closed.
    pub(crate) async fn run(self, mut events: mpsc::UnboundedReceiver<Input>) {
        let mut term_engine = TermEngine::default();
        loop {
            match time::timeout(TICK_INTERVAL, events.recv()).await {
                Ok(Some((term, event))) => term_engine.push(term, event),
                Ok(None) => return,
                Err(_) => {}
            }
            for _ in 0..MAX_BATCH {
                let Ok((term, event)) = events.try_recv() else {
                    break;
                };
                term_engine.push(term, event);
            }
            self.step_engine(&mut term_engine);
        }
    }

    fn step_engine(&self, term_engine: &mut TermEngine) {
        let now = self.clock.now();
        let new_engine = || Engine::new(self.settings.clone(), now);
        let Some((term, engine, events)) =
            term_engine.for_term(self.replica.leading_term(), new_engine)
        else {
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
        let effects = engine.step(events, &state.registry(), now, time_ms);
        for effect in effects {
            self.perform(term, effect, time_ms);
        }
    }

    fn perform(&self, term: u64, effect: Effect, time_ms: u64) {
        let inputs = self.inputs.clone();
        match effect {
            Effect::Propose { proposal, updates } => {
                let replica = self.replica.clone();
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
                    drop(inputs.send((term, event)));
                });
            }
            Effect::Hold {
                call,
                target,
                order,
            } => {
                let answer = self.upstream_client.hold(target, term, order);
                tokio::spawn(async move {
                    let answer = answer.await;
                    drop(inputs.send((term, Event::HoldAnswered { call, answer })));
                });
            }
            Effect::Start {
                call,
                target,
                order,
            } => {
                let answer = self.upstream_client.start(target, term, order);
                tokio::spawn(async move {
                    let answer = answer.await;
                    drop(inputs.send((term, Event::StartAnswered { call, answer })));
                });
            }
            Effect::Stop {
                call,
                target,
                order,
            } => {
                let answer = self.upstream_client.stop(target, term, order);
                tokio::spawn(async move {
                    let answer = answer.await;
                    drop(inputs.send((term, Event::StopAnswered { call, answer })));
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
                    drop(inputs.send((term, Event::AdviceAnswered { call, answer })));
                });
            }
        }
    }
}

fn log_dropped(proposal: u64, verdict: &Verdict) {
    log::warn!("event=proposal_dropped ticket={proposal} outcome=\"{verdict:?}\"");
}

use {
    super::{Orders, Reign},
    crate::{control::Replica, time::Agreed},
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

/// Longest time between two looks at the runs; retries and new work are noticed at this pace without an event.
const TICK: Duration = Duration::from_millis(50);

/// Events of one round.
const MAX_BATCH: usize = 4096;

/// An event of one term; those of an earlier term are dropped.
pub(crate) type Input = (u64, Event);

/// Runs the engine while the replica leads.
pub struct Lead {
    pub(crate) replica: Replica,
    pub(crate) orders: Arc<dyn Orders>,
    pub(crate) clock: Arc<dyn Clock>,
    pub(crate) agreed: Arc<Mutex<Agreed>>,
    pub(crate) settings: Settings,
    pub(crate) inputs: mpsc::UnboundedSender<Input>,
}

impl Lead {
    /// Takes events until the channel is closed.
    pub(crate) async fn run(self, mut events: mpsc::UnboundedReceiver<Input>) {
        let mut reign = Reign::default();
        loop {
            match time::timeout(TICK, events.recv()).await {
                Ok(Some((term, event))) => reign.push(term, event),
                Ok(None) => return,
                Err(_) => {}
            }
            for _ in 0..MAX_BATCH {
                let Ok((term, event)) = events.try_recv() else {
                    break;
                };
                reign.push(term, event);
            }
            self.round(&mut reign);
        }
    }

    fn round(&self, reign: &mut Reign) {
        let now = self.clock.now();
        let open = || Engine::new(self.settings.clone(), now);
        let Some((term, engine, events)) = reign.enter(self.replica.leading_term(), open) else {
            return;
        };
        let Some(ledger) = self.replica.ledger() else {
            return;
        };
        let agreed = self.agreed.lock().unwrap_or_else(PoisonError::into_inner);
        let time_ms = agreed.now_ms(now);
        drop(agreed);
        let effects = engine.step(events, &ledger.book(), now, time_ms);
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
                let answer = self.orders.hold(target, term, order);
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
                let answer = self.orders.start(target, term, order);
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
                let answer = self.orders.stop(target, term, order);
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
                let answer = self.orders.advise(step, upstreams);
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

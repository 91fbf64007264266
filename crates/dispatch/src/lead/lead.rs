use {
    super::Orders,
    crate::{control::Replica, time::Agreed},
    model::clock::Clock,
    plan::engine::{Effect, Engine, Event, Settings},
    std::{
        sync::{Arc, Mutex, PoisonError},
        time::Duration,
    },
    tokio::{sync::mpsc, time},
    wire::Verdict,
    work::book::{Answer, Command},
};

/// Longest time between two looks at the runs; retries and new work are noticed at this pace without an event.
const TICK: Duration = Duration::from_millis(50);

/// Events of one round.
const MAX_BATCH: usize = 256;

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
        let mut engine: Option<(u64, Engine)> = None;
        loop {
            let mut batch = Vec::new();
            match time::timeout(TICK, events.recv()).await {
                Ok(Some(input)) => batch.push(input),
                Ok(None) => return,
                Err(_) => {}
            }
            while batch.len() < MAX_BATCH
                && let Ok(input) = events.try_recv()
            {
                batch.push(input);
            }
            self.round(&mut engine, batch);
        }
    }

    fn round(&self, engine: &mut Option<(u64, Engine)>, batch: Vec<Input>) {
        let term = self.replica.leading_term();
        if engine.as_ref().map(|(term, _)| *term) != term {
            if let Some((term, engine)) = engine.take() {
                log::info!("event=lead_ended term={term} runs={}", engine.live());
            }
            if let Some(term) = term {
                log::info!("event=lead_began term={term}");
                *engine = Some((term, Engine::new(self.settings.clone(), self.clock.now())));
            }
        }
        let (Some((term, engine)), Some(ledger)) = (engine.as_mut(), self.replica.ledger()) else {
            return;
        };
        let term = *term;
        let events = batch.into_iter().filter(|(of, _)| *of == term || *of == 0);
        let events: Vec<Event> = events.map(|(_, event)| event).collect();
        let now = self.clock.now();
        let time_ms = self
            .agreed
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .now_ms(now);
        let effects = engine.step(events, &ledger.book(), now, time_ms);
        // The process may have been suspended since the round began; a former leader sends nothing.
        if self.replica.leading_term() != Some(term) {
            return;
        }
        for effect in effects {
            self.perform(term, effect, time_ms);
        }
    }

    fn perform(&self, term: u64, effect: Effect, time_ms: u64) {
        let inputs = self.inputs.clone();
        match effect {
            Effect::Propose { ticket, steps } => {
                let replica = self.replica.clone();
                let command = Command::Progress {
                    at_ms: time_ms,
                    steps,
                };
                tokio::spawn(async move {
                    let event = match replica.propose(&command).await {
                        Ok(Answer::Runs(runs)) => Event::Committed { ticket, runs },
                        Ok(_) => Event::Dropped { ticket },
                        Err(verdict) => {
                            log_dropped(ticket, &verdict);
                            Event::Dropped { ticket }
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
                    drop(inputs.send((term, Event::Held { call, answer })));
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
                    drop(inputs.send((term, Event::Started { call, answer })));
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
                    drop(inputs.send((term, Event::Stopped { call, answer })));
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
                    drop(inputs.send((term, Event::Advised { call, answer })));
                });
            }
        }
    }
}

fn log_dropped(ticket: u64, verdict: &Verdict) {
    log::warn!("event=proposal_dropped ticket={ticket} outcome=\"{verdict:?}\"");
}

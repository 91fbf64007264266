use plan::engine::{Engine, Event};

/// Limit of events kept while this instance does not lead or its lease is in doubt. Further ones are dropped.
const MAX_PENDING_EVENTS: usize = 65_536;

/// The engine of the current term and its pending events.
#[derive(Debug, Default)]
pub struct TermEngine {
    engine: Option<(u64, Engine)>,
    /// Events with the term of the engine that they are for; 0 stands for any term.
    pending: Vec<(u64, Event)>,
    /// Term whose engine has panicked.
    failed_term: Option<u64>,
}

impl TermEngine {
    /// Adds an event for the engine of a term; 0 stands for any term.
    pub fn push(&mut self, term: u64, event: Event) {
        if self.pending.len() < MAX_PENDING_EVENTS {
            self.pending.push((term, event));
        }
    }

    /// Discards the engine after a panic. Its term gets no other engine, so the leadership must be handed over.
    pub fn fail(&mut self) {
        if let Some((term, _)) = self.engine.take() {
            self.failed_term = Some(term);
        }
        self.pending.clear();
    }

    /// Whether the engine of this term has panicked.
    pub fn has_failed(&self, term: Option<u64>) -> bool {
        term.is_some() && self.failed_term == term
    }

    /// Returns the engine of the term in which this instance leads, and its events; `None` if it does not lead. A new
    /// term gets a new engine.
    ///
    /// While the lease is in doubt, the engine of the term is kept, because its calls in flight carry the fencing token
    /// of the term. A second engine with the same token would reuse their call numbers, and rule out starts that can
    /// still arrive.
    pub fn for_term(
        &mut self,
        term: Option<u64>,
        new_engine: impl FnOnce() -> Engine,
    ) -> Option<(u64, &mut Engine, Vec<Event>)> {
        let term = term.filter(|term| self.failed_term != Some(*term))?;
        if self.engine.as_ref().map(|(term, _)| *term) != Some(term) {
            if let Some((term, engine)) = self.engine.take() {
                log::info!("event=lead_ended term={term} runs={}", engine.live_runs());
            }
            log::info!("event=lead_began term={term}");
            self.engine = Some((term, new_engine()));
        }
        let events = self
            .pending
            .drain(..)
            .filter(|(event_term, _)| *event_term == term || *event_term == 0);
        let events = events.map(|(_, event)| event).collect();
        let (_, engine) = self.engine.as_mut()?;
        Some((term, engine, events))
    }
}

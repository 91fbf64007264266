use plan::engine::{Engine, Event};

/// Events kept while it is open whether this instance still leads.
const MAX_PENDING_EVENTS: usize = 65_536;

/// The engine of the present term, and the events that wait for it.
#[derive(Debug, Default)]
pub struct TermEngine {
    engine: Option<(u64, Engine)>,
    /// Events with the term of the engine that they are for; 0 is any.
    pending: Vec<(u64, Event)>,
}

impl TermEngine {
    /// Adds an event for the engine of a term; term 0 is any.
    pub fn push(&mut self, term: u64, event: Event) {
        if self.pending.len() < MAX_PENDING_EVENTS {
            self.pending.push((term, event));
        }
    }

    /// The engine and its events if this instance leads. A new term gets a new engine.
    ///
    /// While the lease is in doubt the engine of the term is kept: its orders on the way carry the fencing token of
    /// the term, so a second engine with the same token would take those that it does not know of for impossible.
    pub fn for_term(
        &mut self,
        term: Option<u64>,
        new_engine: impl FnOnce() -> Engine,
    ) -> Option<(u64, &mut Engine, Vec<Event>)> {
        let term = term?;
        if self.engine.as_ref().map(|(term, _)| *term) != Some(term) {
            if let Some((term, engine)) = self.engine.take() {
                log::info!("event=lead_ended term={term} runs={}", engine.live());
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

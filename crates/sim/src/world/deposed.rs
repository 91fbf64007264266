use {
    super::{World, happening::Happening},
    plan::engine::{Effect, Engine, Event},
    work::{id, registry::Registry},
};

/// Time from the loss of a leader to the choice of another one, in milliseconds.
const ELECTION_MS: f64 = 2000.0;

/// Time for which an upstream stays out of reach of a new leader after the earlier one has ended, in milliseconds.
const REJOIN_MS: f64 = 4000.0;

/// A leader that was replaced and goes on, unable to commit anything.
#[derive(Debug)]
pub(super) struct Deposed {
    term: u64,
    member: usize,
    engine: Engine,
    /// The registry as it knew it.
    book: Registry,
    events: Vec<Event>,
    /// What it had decided before it stood still.
    effects: Vec<Effect>,
    thaws_ms: f64,
    ends_ms: f64,
}

/// Changes of the leader.
impl World {
    /// Begins the term of another leader.
    pub(super) fn take_over(&mut self) {
        self.pending_events.clear();
        self.is_busy = false;
        self.is_vacant = false;
        let mut engine = Engine::new(self.setup.settings.clone(), self.instant());
        if let Some((speeds, at)) = &self.told_speeds {
            engine.inherit_speeds(speeds, *at);
        }
        self.hand_over(&mut engine);
        self.engine = engine;
        self.step(Vec::new());
    }

    /// The leader stands still before it sends what it has decided; another one takes over.
    pub(super) fn freeze(&mut self, for_ms: u64, on_ms: u64, effects: Vec<Effect>) {
        self.freezing = None;
        let thaws_ms = self.now_ms + for_ms as f64;
        let ends_ms = thaws_ms + on_ms as f64;
        log::debug!(
            "event=model_freeze at={:.0} term={}",
            self.now_ms,
            self.term
        );
        let term = self.term;
        self.depose(effects, thaws_ms, ends_ms);
        self.is_vacant = true;
        self.at(thaws_ms, Happening::Thawed { term });
        self.at(self.now_ms + ELECTION_MS, Happening::Elected);
    }

    /// The leader is cut off from the other instances; another one takes over, which does not reach some upstreams.
    pub(super) fn isolate(&mut self, on_ms: u64, with: Vec<id::Upstream>) {
        if self.is_vacant {
            return;
        }
        let ends_ms = self.now_ms + on_ms as f64;
        self.depose(Vec::new(), self.now_ms, ends_ms);
        for id in with {
            self.cut_from_term.insert(id.clone(), self.term);
            self.at(ends_ms + REJOIN_MS, Happening::Mend(id));
        }
        self.take_over();
    }

    fn depose(&mut self, effects: Vec<Effect>, thaws_ms: f64, ends_ms: f64) {
        let next = Engine::new(self.setup.settings.clone(), self.instant());
        self.keep_away(ends_ms);
        self.deposed.push(Deposed {
            term: self.term,
            member: self.leading_member(),
            engine: std::mem::replace(&mut self.engine, next),
            book: self.book.clone(),
            events: std::mem::take(&mut self.pending_events),
            effects,
            thaws_ms,
            ends_ms,
        });
        self.term += 1;
        self.is_busy = false;
    }

    /// Whether a replaced leader of this term goes on.
    pub(super) fn is_deposed(&self, term: u64) -> bool {
        self.deposed.iter().any(|deposed| deposed.term == term)
    }

    pub(super) fn thaw(&mut self, term: u64) {
        let Some(deposed) = self.deposed.iter_mut().find(|deposed| deposed.term == term) else {
            return;
        };
        let effects = std::mem::take(&mut deposed.effects);
        let member = deposed.member;
        log::debug!("event=model_thaw at={:.0} term={term}", self.now_ms);
        for effect in effects {
            self.perform(term, effect);
        }
        self.tell_again(member);
        self.step_deposed(term, None);
    }

    /// Lets the replaced leaders go on, and ends those whose time is over.
    pub(super) fn tick_deposed(&mut self) {
        let now_ms = self.now_ms;
        self.deposed
            .retain(|deposed| now_ms < deposed.ends_ms || !deposed.effects.is_empty());
        let terms: Vec<u64> = self.deposed.iter().map(|deposed| deposed.term).collect();
        for term in terms {
            self.step_deposed(term, None);
        }
    }

    pub(super) fn step_deposed(&mut self, term: u64, event: Option<Event>) {
        let (now, now_ms) = (self.instant(), self.now_ms);
        let Some(deposed) = self.deposed.iter_mut().find(|deposed| deposed.term == term) else {
            return;
        };
        deposed.events.extend(event);
        if now_ms < deposed.thaws_ms || now_ms >= deposed.ends_ms {
            return;
        }
        let events = std::mem::take(&mut deposed.events);
        let effects = deposed
            .engine
            .step(events, &deposed.book, now, now_ms as u64);
        for effect in effects {
            self.perform(term, effect);
        }
    }
}

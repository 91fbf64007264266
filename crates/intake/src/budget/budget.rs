use {
    super::{Ledger, Outcome, Reservation},
    crate::{
        connection::Signal,
        meter::{Meter, Reason},
    },
    std::{
        sync::{Arc, Mutex, MutexGuard, PoisonError},
        time::Instant,
    },
    tokio::sync::Notify,
};

/// Memory that connections share. Clones share it too.
#[derive(Clone)]
pub struct Budget {
    ledger: Arc<Mutex<Ledger<Arc<Signal>>>>,
    meter: Arc<Meter>,
    kind: Kind,
}

/// What a budget pays for, and so what is taken from a connection that loses its part.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Kind {
    /// Request bodies: the request is refused.
    Bodies,
    /// Answers: the connection is closed.
    Answers,
}

impl Budget {
    pub(crate) fn new(
        kind: Kind,
        limit: usize,
        max_fragmented: usize,
        meter: Arc<Meter>,
    ) -> Budget {
        Budget {
            ledger: Arc::new(Mutex::new(Ledger::new(limit, max_fragmented))),
            meter,
            kind,
        }
    }

    /// Opens an empty reservation of the connection with this signal.
    pub(crate) fn open(&self, signal: &Arc<Signal>) -> Reservation {
        let id = self.ledger().open(signal.clone(), Instant::now());
        Reservation::new(id, self.clone())
    }

    /// Bytes that are reserved.
    pub fn used(&self) -> usize {
        self.ledger().used()
    }

    pub(super) fn ledger(&self) -> MutexGuard<'_, Ledger<Arc<Signal>>> {
        self.ledger.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Tells the connections that were cut, and returns whether the demand is granted.
    pub(super) fn settle(&self, outcome: Outcome<Arc<Signal>>) -> bool {
        for signal in outcome.cut {
            self.notify(&signal).notify_one();
            if self.kind == Kind::Answers {
                self.meter.note(Reason::AnswerMemory);
            }
        }
        outcome.granted
    }

    pub(super) fn report(&self, used: usize) {
        if self.kind == Kind::Bodies {
            self.meter.body_bytes.set(used as i64);
        }
    }

    fn notify<'a>(&self, signal: &'a Signal) -> &'a Notify {
        match self.kind {
            Kind::Bodies => &signal.cut,
            Kind::Answers => &signal.close,
        }
    }
}

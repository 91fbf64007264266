use std::sync::atomic::{AtomicU64, Ordering};

/// A method of the interface between instances.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Method {
    /// Consensus messages; only counted when received.
    Deliver,
    /// Commands.
    Propose,
    /// Reads.
    Query,
    /// Questions for newer configuration.
    Follow,
    /// Workers and demand.
    Report,
    /// Membership entries.
    Gossip,
}

impl Method {
    /// All methods.
    pub const ALL: [Method; 6] = [
        Method::Deliver,
        Method::Propose,
        Method::Query,
        Method::Follow,
        Method::Report,
        Method::Gossip,
    ];

    /// Its name in the schema.
    pub fn name(self) -> &'static str {
        match self {
            Method::Deliver => "deliver",
            Method::Propose => "propose",
            Method::Query => "query",
            Method::Follow => "follow",
            Method::Report => "report",
            Method::Gossip => "gossip",
        }
    }
}

/// Calls of one method since the start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Count {
    /// Received from other instances.
    pub received: u64,
    /// Made and answered.
    pub answered: u64,
    /// Made without a usable answer.
    pub failed: u64,
}

/// Counts the calls between this instance and the others.
#[derive(Debug, Default)]
pub struct Calls {
    counts: [[AtomicU64; 3]; Method::ALL.len()],
}

impl Calls {
    /// The calls of a method so far.
    pub fn count(&self, method: Method) -> Count {
        let load = |index: usize| self.counts[method as usize][index].load(Ordering::Relaxed);
        Count {
            received: load(0),
            answered: load(1),
            failed: load(2),
        }
    }

    pub(super) fn received(&self, method: Method) {
        self.counts[method as usize][0].fetch_add(1, Ordering::Relaxed);
    }

    /// Counts a call that was made and returns its result.
    pub(super) fn made<T, E>(&self, method: Method, result: Result<T, E>) -> Result<T, E> {
        let index = if result.is_ok() { 1 } else { 2 };
        self.counts[method as usize][index].fetch_add(1, Ordering::Relaxed);
        result
    }
}

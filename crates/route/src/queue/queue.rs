use {
    model::request::Class,
    std::{collections::BTreeMap, time::Instant},
};

/// Requests that wait in one line.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Key {
    /// The client account.
    pub account: String,
    /// The class.
    pub class: Class,
    /// The service.
    pub service: String,
}

/// A waiting request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Waiting {
    /// The request.
    pub request: u64,
    /// When its answer must have arrived.
    pub deadline: Instant,
}

#[derive(Debug, Default)]
pub(super) struct Queue {
    pub(super) waiting: BTreeMap<(Instant, u64), ()>,
}

impl Queue {
    pub(super) fn first(&self) -> Option<Waiting> {
        self.waiting
            .first_key_value()
            .map(|((deadline, request), ())| Waiting {
                request: *request,
                deadline: *deadline,
            })
    }
}

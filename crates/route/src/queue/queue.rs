use {
    model::request::Class,
    std::{collections::BTreeMap, time::Instant},
};

/// Identifies a queue.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Key {
    /// Name of the client account that sent its requests.
    pub account: String,
    /// The class of its requests.
    pub class: Class,
    /// Name of the service that its requests are for.
    pub service: String,
}

/// A waiting request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Waiting {
    /// Its id, unique within the instance.
    pub request: u64,
    /// When the whole answer must have arrived.
    pub deadline: Instant,
}

#[derive(Clone, Debug, Default)]
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

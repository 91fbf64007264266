use {
    super::Error,
    tokio::sync::oneshot,
    wire::{Update, Verdict},
};

/// Receives the answer of a call.
pub(super) type Answer<T> = oneshot::Sender<Result<T, Error>>;

/// A call waiting to be sent to one instance.
pub(super) enum Call {
    /// Consensus messages; nobody waits for the answer.
    Deliver {
        group: String,
        messages: Vec<Vec<u8>>,
    },
    Propose {
        group: String,
        command: Vec<u8>,
        answer: Answer<Verdict>,
    },
    Query {
        group: String,
        query: Vec<u8>,
        answer: Answer<Verdict>,
    },
    Follow {
        incarnation: u64,
        applied: u64,
        answer: Answer<Update>,
    },
    Report {
        group: String,
        report: Vec<u8>,
        answer: Answer<Verdict>,
    },
    Gossip {
        entries: Vec<u8>,
        answer: Answer<Vec<u8>>,
    },
}

impl Call {
    /// Ends the call with an error.
    pub(super) fn fail(self, error: Error) {
        match self {
            Call::Deliver { .. } => {}
            Call::Propose { answer, .. }
            | Call::Query { answer, .. }
            | Call::Report { answer, .. } => drop(answer.send(Err(error))),
            Call::Follow { answer, .. } => drop(answer.send(Err(error))),
            Call::Gossip { answer, .. } => drop(answer.send(Err(error))),
        }
    }
}

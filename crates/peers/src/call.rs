use {
    super::Error,
    tokio::sync::oneshot,
    wire::{Update, Verdict},
};

/// Sends the result of a call back to its caller.
pub(super) type ResultSender<T> = oneshot::Sender<Result<T, Error>>;

/// A call that waits in the queue of one instance.
pub(super) enum Call {
    /// Consensus messages. No caller waits for their acknowledgement.
    Deliver {
        group: String,
        messages: Vec<Vec<u8>>,
    },
    Propose {
        group: String,
        command: Vec<u8>,
        answer: ResultSender<Verdict>,
    },
    Query {
        group: String,
        query: Vec<u8>,
        answer: ResultSender<Verdict>,
    },
    Follow {
        incarnation: u64,
        applied: u64,
        answer: ResultSender<Update>,
    },
    Report {
        group: String,
        report: Vec<u8>,
        answer: ResultSender<Verdict>,
    },
    Gossip {
        entries: Vec<u8>,
        answer: ResultSender<Vec<u8>>,
    },
}

impl Call {
    /// Returns `error` to the caller, if one waits.
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

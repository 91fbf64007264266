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
        result_sender: ResultSender<Verdict>,
    },
    Query {
        group: String,
        query: Vec<u8>,
        result_sender: ResultSender<Verdict>,
    },
    Follow {
        /// Differs with each start of this process.
        incarnation: u64,
        /// Number of the configuration that this instance has; 0 for none.
        applied: u64,
        result_sender: ResultSender<Update>,
    },
    Report {
        group: String,
        report: Vec<u8>,
        result_sender: ResultSender<Verdict>,
    },
    Gossip {
        entries: Vec<u8>,
        result_sender: ResultSender<Vec<u8>>,
    },
}

impl Call {
    /// Returns `error` to the caller, if one waits.
    pub(super) fn fail(self, error: Error) {
        match self {
            Call::Deliver { .. } => {}
            Call::Propose { result_sender, .. }
            | Call::Query { result_sender, .. }
            | Call::Report { result_sender, .. } => drop(result_sender.send(Err(error))),
            Call::Follow { result_sender, .. } => drop(result_sender.send(Err(error))),
            Call::Gossip { result_sender, .. } => drop(result_sender.send(Err(error))),
        }
    }
}

use {quorum::Change, tokio::sync::oneshot, wire::Verdict};

/// Input of a replica's thread.
pub(super) enum Input {
    /// Encoded messages from another replica.
    Deliver { sender: u64, messages: Vec<Vec<u8>> },
    /// Proposes a command; its verdict goes to `reply`.
    Propose {
        command: Vec<u8>,
        reply: oneshot::Sender<Verdict>,
    },
    /// Requests a read barrier; the reply is `None` once the local state may be read, otherwise the refusal.
    Read {
        reply: oneshot::Sender<Option<Verdict>>,
    },
    /// Proposes a membership change; its result appears in the view.
    Change(Change),
    /// Forms the group, unless this replica has state of it or has heard of a leader or candidate.
    Bootstrap,
    /// Transfers leadership to another voter, if this replica leads.
    TransferLeadership,
    /// Ends the thread.
    Stop,
}

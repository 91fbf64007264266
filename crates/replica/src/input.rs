use {quorum::Change, tokio::sync::oneshot, wire::Verdict};

/// What the rest of the instance asks of a replica's thread.
pub(super) enum Input {
    /// Encoded messages from another replica.
    Deliver { sender: u64, messages: Vec<Vec<u8>> },
    /// A command and where its verdict goes.
    Propose {
        command: Vec<u8>,
        reply: oneshot::Sender<Verdict>,
    },
    /// A read barrier; `None` when the local state may be read, otherwise the refusal.
    Read {
        reply: oneshot::Sender<Option<Verdict>>,
    },
    /// A membership change; its result shows in the view.
    Change(Change),
    /// Forms the group if this replica holds nothing of it.
    Bootstrap,
    /// Hands leadership to another voter, if this replica leads.
    TransferLeadership,
    /// Ends the thread.
    Stop,
}

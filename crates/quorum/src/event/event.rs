use crate::{Change, Message};

/// Input of [`Node::step`](crate::Node::step).
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// Time has passed. The driver sends it at least once per third of the heartbeat interval.
    Tick,
    /// A message arrived. Messages may be lost, duplicated, delayed and reordered.
    Message {
        /// Id of the sender.
        from: u64,
        /// Dropped if it names another incarnation of this replica or a number out of range.
        message: Message,
    },
    /// Asks to replicate a command.
    Propose {
        /// Chosen by the driver, unique; returned in [`Effect::Respond`](super::Effect::Respond).
        request_id: u64,
        /// Serialized; its content means nothing to the node.
        command: Vec<u8>,
    },
    /// Asks when a read of the local state machine is linearizable.
    Read {
        /// Chosen by the driver, unique; returned in [`Effect::Respond`](super::Effect::Respond).
        request_id: u64,
    },
    /// A [`Persist`](super::Effect::Persist) with entries, or an
    /// [`InstallSnapshot`](super::Effect::InstallSnapshot), is synced to disk, and so are all
    /// earlier ones.
    ///
    /// The driver reports one `Synced` for each such effect, in the order of the effects, also if
    /// it syncs several at once. Reports that match no outstanding effect are ignored.
    Synced {
        /// Index of the last entry of the `Persist`, or index of the installed snapshot.
        index: u64,
    },
    /// The state machine has serialized its state as of the applied entry `index`. The node emits
    /// [`SaveSnapshot`](super::Effect::SaveSnapshot) and compacts its log, unless it already has a
    /// snapshot of that entry or a later one, or the entry does not match its log.
    SnapshotTaken {
        /// Last entry included in the state.
        index: u64,
        /// Term of that entry.
        term: u64,
        /// Serialized; its content means nothing to the node.
        data: Vec<u8>,
    },
    /// Asks for a membership change.
    ChangeMembers {
        /// Chosen by the driver, unique; returned in [`Effect::Respond`](super::Effect::Respond).
        request_id: u64,
        /// The members to add, promote or remove.
        change: Change,
    },
}

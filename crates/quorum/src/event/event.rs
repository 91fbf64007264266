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
        /// The message.
        message: Message,
    },
    /// Asks for a command to be replicated.
    Propose {
        /// Chosen by the driver; returned in [`Effect::Respond`](super::Effect::Respond).
        request_id: u64,
        /// The command.
        command: Vec<u8>,
    },
    /// Asks for a linearizable read barrier.
    Read {
        /// Chosen by the driver; returned in [`Effect::Respond`](super::Effect::Respond).
        request_id: u64,
    },
    /// A [`Persist`](super::Effect::Persist) with entries or a [`InstallSnapshot`](super::Effect::InstallSnapshot) is
    /// on disk, and so is every earlier one.
    ///
    /// The driver reports one `Synced` for each such effect, in the order of the effects. `index` is
    /// the index of the last entry of the Persist, or the index of the restored snapshot. A driver
    /// that syncs several effects at once still reports each of them. Reports that match no
    /// outstanding effect are ignored.
    Synced {
        /// Last index covered by the effect.
        index: u64,
    },
    /// The state machine serialized its state as of the applied entry `index`.
    SnapshotTaken {
        /// Last entry included in the state.
        index: u64,
        /// Term of that entry.
        term: u64,
        /// Serialized state.
        data: Vec<u8>,
    },
    /// Asks for a membership change.
    ChangeMembers {
        /// Chosen by the driver; returned in [`Effect::Respond`](super::Effect::Respond).
        request_id: u64,
        /// The change.
        change: Change,
    },
}

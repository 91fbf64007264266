use {
    super::Outcome,
    crate::{Entry, HardState, Message, Snapshot},
};

/// Output of [`Node::step`](crate::Node::step).
///
/// The driver performs the effects of one step in their order, and those of a later step after
/// those of an earlier one, with these relaxations:
///
/// - The disk effects (`Persist`, `InstallSnapshot` and `SaveSnapshot`) form one ordered queue. The
///   node may be stepped again while that queue is being written.
/// - A `Send` waits until every earlier `Persist` with a `hard_state` and every earlier
///   `InstallSnapshot` is synced. It need not wait for a `Persist` that carries only entries: the
///   node acknowledges and counts entries only after [`Event::Synced`](super::Event::Synced).
/// - `Apply` and `Respond` need not wait for the disk queue, except for an earlier
///   `InstallSnapshot`.
///
/// A failed write or sync must stop the replica: no effect queued behind it may be performed.
#[derive(Clone, Debug, PartialEq)]
pub enum Effect {
    /// Write to the log and sync, then report [`Event::Synced`](super::Event::Synced) if `entries`
    /// is not empty.
    Persist {
        /// Replaces the stored hard state; `None` leaves it as it is.
        hard_state: Option<HardState>,
        /// Before appending, remove all stored entries with this index or a higher one.
        truncate: Option<u64>,
        /// Entries to append, without a gap; may be empty.
        entries: Vec<Entry>,
    },
    /// Send a message to the replica with id `to`. The message may be lost.
    Send {
        /// Id of the receiver.
        to: u64,
        /// Names the incarnation that the receiver must have.
        message: Message,
    },
    /// Apply a committed entry to the state machine. Entries come in order and without gaps;
    /// payloads other than `Command` only advance the applied index.
    Apply {
        /// The entry, which is already on the local disk.
        entry: Entry,
    },
    /// Replace the state of the state machine, save the snapshot, remove the whole stored log,
    /// sync, and report [`Event::Synced`](super::Event::Synced) with the snapshot's index. After a
    /// crash the disk must hold either the old snapshot and log, or the new snapshot and an empty
    /// log.
    InstallSnapshot {
        /// Received from the leader; its checksum is verified.
        snapshot: Snapshot,
    },
    /// Save the snapshot made of [`Event::SnapshotTaken`](super::Event::SnapshotTaken) and sync it.
    /// Stored entries up to its index may be removed afterwards. The driver reports nothing back.
    SaveSnapshot {
        /// Data of the event, with the member list as of its index.
        snapshot: Snapshot,
    },
    /// Report the outcome of a request to its caller. Each request ends once.
    Respond {
        /// Id from the event that made the request.
        request_id: u64,
        /// How the request ended. Only `Lost` leaves open whether it takes effect.
        outcome: Outcome,
    },
}

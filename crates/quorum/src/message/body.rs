use {
    crate::{Entry, Members},
    serde::{Deserialize, Serialize},
};

/// Content of a [`Message`](super::Message).
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Body {
    /// Asks whether the receiver would grant a vote; changes no state there.
    PreVote {
        /// Term in which the sender would ask for the vote.
        next_term: u64,
        /// Index of the sender's last entry.
        last_index: u64,
        /// Term of that entry.
        last_term: u64,
    },
    /// Answers [`Body::PreVote`].
    PreVoteReply {
        /// Copied from the request.
        next_term: u64,
        /// Whether the sender would vote for the receiver.
        granted: bool,
    },
    /// Asks for a vote in the term of the message.
    Vote {
        /// Index of the sender's last entry.
        last_index: u64,
        /// Term of that entry.
        last_term: u64,
        /// Whether the leader asked the sender to take over, so that its lease does not prevent the
        /// vote.
        transfer: bool,
    },
    /// Answers [`Body::Vote`].
    VoteReply {
        /// Whether the sender voted for the receiver.
        granted: bool,
    },
    /// Entries of the leader's log.
    Append {
        /// Index of the entry before the first one sent.
        prev_index: u64,
        /// Term of that entry.
        prev_term: u64,
        /// The entries; may be empty.
        entries: Vec<Entry>,
        /// The leader's commit index.
        commit: u64,
        /// Heartbeat round in which the message was sent.
        round: u64,
    },
    /// Entries up to `matched` agree with the leader's and are synced. Answers [`Body::Append`],
    /// and the last [`Body::Chunk`] of a snapshot.
    AppendReply {
        /// Index of the last such entry.
        matched: u64,
        /// Latest heartbeat round received.
        round: u64,
    },
    /// Answers [`Body::Append`]: the entry before the first one sent does not agree.
    AppendReject {
        /// Index of that entry.
        rejected: u64,
        /// Index of the last entry that may agree.
        hint_index: u64,
        /// Term of that entry.
        hint_term: u64,
        /// Round of the rejected message.
        round: u64,
    },
    /// Prevents elections by the followers and renews the leader's lease.
    Heartbeat {
        /// The leader's commit index, limited to the entries that the receiver is known to hold.
        commit: u64,
        /// Number of the heartbeat round; counts from 1 in each term.
        round: u64,
    },
    /// Answers [`Body::Heartbeat`], and any message of a leader of an earlier term.
    HeartbeatReply {
        /// Number of the heartbeat round; 0 if the sender only reports its newer term.
        round: u64,
    },
    /// One part of a snapshot, sent to a replica that needs compacted entries.
    Chunk {
        /// Index of the last entry included in the snapshot.
        index: u64,
        /// Term of that entry.
        term: u64,
        /// Member list as of that entry.
        members: Members,
        /// Size of the whole snapshot data in bytes.
        total: u64,
        /// CRC-32 of the whole snapshot data.
        checksum: u32,
        /// Position of this part in the snapshot data, in bytes.
        offset: u64,
        /// Content of this part.
        data: Vec<u8>,
        /// Heartbeat round in which the message was sent.
        round: u64,
    },
    /// Answers [`Body::Chunk`].
    ChunkReply {
        /// Index of the last entry included in the snapshot.
        index: u64,
        /// Number of bytes received without a gap; 0 asks for the whole snapshot again.
        offset: u64,
        /// Round of the chunk.
        round: u64,
    },
    /// Asks the target of a leadership transfer to start an election at once.
    TimeoutNow,
}

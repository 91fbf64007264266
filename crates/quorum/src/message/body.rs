use {
    crate::{Entry, Members},
    serde::{Deserialize, Serialize},
};

/// Content of a [`Message`](super::Message).
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Body {
    /// Asks whether a vote would be granted; changes no state at the receiver.
    PreVote {
        /// Term in which the sender would ask for votes.
        next_term: u64,
        /// Last entry of the sender.
        last_index: u64,
        /// Term of that entry.
        last_term: u64,
    },
    /// Answers [`Body::PreVote`].
    PreVoteReply {
        /// Term from the question.
        next_term: u64,
        /// Whether a vote would be granted.
        granted: bool,
    },
    /// Asks for a vote in the message's term.
    Vote {
        /// Last entry of the sender.
        last_index: u64,
        /// Term of that entry.
        last_term: u64,
        /// Sent on behalf of a leader that hands over, so its lease does not prevent the vote.
        transfer: bool,
    },
    /// Answers [`Body::Vote`].
    VoteReply {
        /// Whether the vote was granted.
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
    /// Entries up to `matched` agree with the leader's and are synced.
    AppendReply {
        /// Last such entry.
        matched: u64,
        /// Latest round received.
        round: u64,
    },
    /// The entry before the first one sent does not agree.
    AppendReject {
        /// Index of that entry.
        rejected: u64,
        /// The last entry that may agree.
        hint_index: u64,
        /// Term of that entry.
        hint_term: u64,
        /// Round of the rejected message.
        round: u64,
    },
    /// Keeps the followers from starting an election, and renews the lease.
    Heartbeat {
        /// The leader's commit index, at most what the receiver is known to hold.
        commit: u64,
        /// Number of the round.
        round: u64,
    },
    /// Answers [`Body::Heartbeat`].
    HeartbeatReply {
        /// Number of the round.
        round: u64,
    },
    /// Part of a snapshot.
    Chunk {
        /// Last entry included in the snapshot.
        index: u64,
        /// Term of that entry.
        term: u64,
        /// Member list as of that entry.
        members: Members,
        /// Size of the whole snapshot data in bytes.
        total: u64,
        /// CRC-32 of the whole snapshot data.
        checksum: u32,
        /// Position of this part.
        offset: u64,
        /// The part.
        data: Vec<u8>,
        /// Heartbeat round in which the message was sent.
        round: u64,
    },
    /// Answers [`Body::Chunk`].
    ChunkReply {
        /// Last entry included in the snapshot.
        index: u64,
        /// Number of bytes received without a gap.
        offset: u64,
        /// Round of the chunk.
        round: u64,
    },
    /// The leader hands over: start an election at once.
    TimeoutNow,
}

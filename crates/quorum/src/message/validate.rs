use super::{Body, Message};

/// Exclusive limit of all numbers in a message. Indices and rounds grow by one at a time and
/// terms by their interval, and none reaches it, so a message with a larger number is damaged or
/// hostile. Sums with it could overflow.
const NUMBER_LIMIT: u64 = 1 << 62;

impl Message {
    /// Whether all numbers in the message are below [`NUMBER_LIMIT`].
    pub(crate) fn is_plausible(&self) -> bool {
        self.term < NUMBER_LIMIT
            && self
                .body
                .numbers()
                .iter()
                .all(|number| *number < NUMBER_LIMIT)
    }
}

impl Body {
    /// All indices, terms, rounds, offsets and sizes in the body.
    fn numbers(&self) -> Vec<u64> {
        match *self {
            Body::PreVote {
                next_term,
                last_index,
                last_term,
            } => vec![next_term, last_index, last_term],
            Body::PreVoteReply { next_term, .. } => vec![next_term],
            Body::Vote {
                last_index,
                last_term,
                ..
            } => vec![last_index, last_term],
            Body::Append {
                prev_index,
                prev_term,
                ref entries,
                commit,
                round,
            } => {
                let own = entries.iter().flat_map(|entry| [entry.index, entry.term]);
                own.chain([prev_index, prev_term, commit, round]).collect()
            }
            Body::AppendReply { matched, round } => vec![matched, round],
            Body::AppendReject {
                rejected,
                hint_index,
                hint_term,
                round,
            } => vec![rejected, hint_index, hint_term, round],
            Body::Heartbeat { commit, round } => vec![commit, round],
            Body::HeartbeatReply { round } => vec![round],
            Body::Chunk {
                index,
                term,
                total,
                offset,
                round,
                ..
            } => vec![index, term, total, offset, round],
            Body::ChunkReply {
                index,
                offset,
                round,
            } => vec![index, offset, round],
            Body::VoteReply { .. } | Body::TimeoutNow => Vec::new(),
        }
    }
}

use {
    super::Progress,
    crate::Member,
    indexmap::IndexMap,
    std::{collections::VecDeque, time::Instant},
};

/// Number of heartbeat rounds whose start time is kept. Replies to older rounds do not renew the
/// lease.
const ROUNDS_KEPT: usize = 64;

/// State that a replica keeps only while it leads.
#[derive(Debug)]
pub(super) struct LeaderState {
    /// Replication state of every other member.
    pub progress: IndexMap<Member, Progress>,
    /// Index of the empty entry that the leader appended at the start of its term.
    pub term_start_index: u64,
    pub elected_at: Instant,
    /// Number of the latest heartbeat round.
    pub round: u64,
    /// Number and start time of the latest rounds, ascending.
    round_starts: VecDeque<(u64, Instant)>,
    pub next_heartbeat: Instant,
    /// Index and request id of each proposal or membership change that is not applied yet,
    /// ascending. A change with a joint list is added once that list is committed.
    pub pending_proposals: VecDeque<(u64, u64)>,
    /// Size of the entries that this leader appended and that are not applied yet.
    pub uncommitted_bytes: usize,
    pub pending_reads: Vec<PendingRead>,
    /// Request id of the membership change whose joint list is not committed yet. `None` also if an
    /// earlier leader appended that list.
    pub pending_change: Option<u64>,
    pub transfer: Option<LeaderTransfer>,
}

/// A read that waits until `index` is applied and a majority has answered `round`.
#[derive(Debug)]
pub(super) struct PendingRead {
    pub request_id: u64,
    pub index: u64,
    pub round: u64,
}

/// A leadership transfer in progress.
#[derive(Debug)]
pub(super) struct LeaderTransfer {
    pub target: Member,
    pub deadline: Instant,
    /// Whether the target was told to start an election. The leader then no longer relies on its
    /// lease.
    pub timeout_now_sent: bool,
}

impl LeaderState {
    pub fn new(term_start_index: u64, now: Instant) -> LeaderState {
        LeaderState {
            progress: IndexMap::new(),
            term_start_index,
            elected_at: now,
            round: 0,
            round_starts: VecDeque::new(),
            next_heartbeat: now,
            pending_proposals: VecDeque::new(),
            uncommitted_bytes: 0,
            pending_reads: Vec::new(),
            pending_change: None,
            transfer: None,
        }
    }

    /// Starts a heartbeat round and returns its number.
    pub fn start_round(&mut self, now: Instant) -> u64 {
        self.round += 1;
        self.round_starts.push_back((self.round, now));
        if self.round_starts.len() > ROUNDS_KEPT {
            self.round_starts.pop_front();
        }
        self.round
    }

    /// Records a reply to a heartbeat round; late and repeated replies change nothing.
    pub fn record_reply(&mut self, from: Member, round: u64) {
        let Some(progress) = self.progress.get_mut(&from) else {
            return;
        };
        if round <= progress.acked_round {
            return;
        }
        if let Ok(position) = self
            .round_starts
            .binary_search_by_key(&round, |(number, _)| *number)
        {
            progress.acked_round = round;
            progress.acked_round_start = Some(self.round_starts[position].1);
        }
    }
}

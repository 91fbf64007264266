use {
    super::Progress,
    crate::Member,
    indexmap::IndexMap,
    std::{collections::VecDeque, time::Instant},
};

/// Number of heartbeat rounds whose start is kept; answers to older ones do not renew the lease.
const ROUNDS_KEPT: usize = 64;

/// State of a leader.
#[derive(Debug)]
pub(super) struct Lead {
    pub progress: IndexMap<Member, Progress>,
    /// Index of the entry appended at the start of the term.
    pub start: u64,
    pub elected: Instant,
    /// Latest heartbeat round.
    pub round: u64,
    rounds: VecDeque<(u64, Instant)>,
    pub next_heartbeat: Instant,
    /// Pending proposals as index and request id, by index.
    pub proposals: VecDeque<(u64, u64)>,
    pub pending_bytes: usize,
    pub reads: Vec<PendingRead>,
    /// Ticket of the change in progress, if it was proposed here.
    pub change: Option<u64>,
    pub handover: Option<Handover>,
}

/// A read that waits for its index and for a heartbeat round.
#[derive(Debug)]
pub(super) struct PendingRead {
    pub request_id: u64,
    pub index: u64,
    pub round: u64,
}

/// A transfer of leadership in progress.
#[derive(Debug)]
pub(super) struct Handover {
    pub target: Member,
    pub deadline: Instant,
    /// Whether the target was told to start an election. From then on there is no lease.
    pub sent: bool,
}

impl Lead {
    pub fn new(start: u64, now: Instant) -> Lead {
        Lead {
            progress: IndexMap::new(),
            start,
            elected: now,
            round: 0,
            rounds: VecDeque::new(),
            next_heartbeat: now,
            proposals: VecDeque::new(),
            pending_bytes: 0,
            reads: Vec::new(),
            change: None,
            handover: None,
        }
    }

    /// Starts a heartbeat round.
    pub fn open_round(&mut self, now: Instant) -> u64 {
        self.round += 1;
        self.rounds.push_back((self.round, now));
        if self.rounds.len() > ROUNDS_KEPT {
            self.rounds.pop_front();
        }
        self.round
    }

    /// Takes note of an answer to a round.
    pub fn answered(&mut self, from: Member, round: u64) {
        let Some(progress) = self.progress.get_mut(&from) else {
            return;
        };
        if round <= progress.round {
            return;
        }
        if let Ok(position) = self
            .rounds
            .binary_search_by_key(&round, |(number, _)| *number)
        {
            progress.round = round;
            progress.acked = Some(self.rounds[position].1);
        }
    }
}

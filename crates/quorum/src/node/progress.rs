use {
    super::Inflight,
    crate::Snapshot,
    std::{sync::Arc, time::Instant},
};

/// What a leader knows about one other replica.
#[derive(Debug)]
pub(super) struct Progress {
    /// Last entry known to agree and to be synced there.
    pub matched: u64,
    /// Next entry to send.
    pub next: u64,
    /// How entries are sent.
    pub mode: Mode,
    /// Latest heartbeat round answered.
    pub acked_round: u64,
    /// When the leader started that round; `None` before the first reply.
    pub acked_round_start: Option<Instant>,
}

impl Progress {
    pub fn new(next: u64) -> Progress {
        Progress {
            matched: 0,
            next,
            mode: Mode::Probe { sent_at: None },
            acked_round: 0,
            acked_round_start: None,
        }
    }

    pub fn probe(&mut self, next: u64) {
        self.next = next.max(self.matched + 1);
        self.mode = Mode::Probe { sent_at: None };
    }

    /// Takes note of a synced entry; returns whether it is news.
    pub fn advance(&mut self, matched: u64) -> bool {
        let advanced = matched > self.matched;
        self.matched = self.matched.max(matched);
        self.next = self.next.max(self.matched + 1);
        match &mut self.mode {
            Mode::Probe { .. } => self.mode = Mode::Pipeline(Inflight::default()),
            Mode::Pipeline(inflight) => inflight.acknowledge(matched),
            Mode::Snapshot { snapshot, .. } if matched >= snapshot.index => {
                self.mode = Mode::Pipeline(Inflight::default());
            }
            Mode::Snapshot { .. } => {}
        }
        advanced
    }
}

/// How a leader sends entries to a replica.
#[derive(Debug)]
pub(super) enum Mode {
    /// One message at a time until the logs are known to agree.
    Probe {
        /// When the message without an answer was sent.
        sent_at: Option<Instant>,
    },
    /// Several messages at a time, bounded by their bytes.
    Pipeline(Inflight),
    /// A snapshot, one chunk at a time.
    Snapshot {
        snapshot: Arc<Snapshot>,
        checksum: u32,
        /// Bytes the replica holds.
        offset: u64,
        /// When the last chunk was sent.
        sent_at: Instant,
    },
}

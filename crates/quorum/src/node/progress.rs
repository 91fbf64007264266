use {
    super::Inflight,
    crate::Snapshot,
    std::{sync::Arc, time::Instant},
};

/// What a leader knows about the log of another replica.
#[derive(Debug)]
pub(super) struct Progress {
    /// Last entry known to agree with the leader's log and to be synced on the replica's disk.
    pub matched: u64,
    /// Next entry to send.
    pub next: u64,
    /// How entries are sent to it.
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

    /// Goes back to one message at a time, starting with the entry `next`.
    pub fn probe(&mut self, next: u64) {
        self.next = next.max(self.matched + 1);
        self.mode = Mode::Probe { sent_at: None };
    }

    /// Records that the replica holds the entries up to `matched`; returns whether `matched`
    /// increased.
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

/// How a leader sends entries to another replica.
#[derive(Debug)]
pub(super) enum Mode {
    /// One message at a time, until the last entry that agrees is known.
    Probe {
        /// When the unanswered message was sent; `None` if there is none.
        sent_at: Option<Instant>,
    },
    /// Several messages at a time, limited by their total size.
    Pipeline(Inflight),
    /// A snapshot, one chunk at a time.
    Snapshot {
        snapshot: Arc<Snapshot>,
        /// CRC-32 of the whole snapshot data.
        checksum: u32,
        /// Number of bytes that the replica has received.
        offset: u64,
        /// When the last chunk was sent.
        sent_at: Instant,
    },
}

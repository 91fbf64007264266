use std::{collections::VecDeque, time::Instant};

/// Messages with entries that are not acknowledged yet, oldest first.
#[derive(Debug, Default)]
pub(super) struct Inflight {
    /// Last entry, size in bytes and send time of each message.
    queue: VecDeque<(u64, usize, Instant)>,
    bytes: usize,
}

impl Inflight {
    /// Total size of the unacknowledged entries.
    pub fn bytes(&self) -> usize {
        self.bytes
    }

    /// When the oldest message was sent.
    pub fn oldest_sent_at(&self) -> Option<Instant> {
        self.queue.front().map(|(_, _, sent_at)| *sent_at)
    }

    pub fn push(&mut self, last: u64, bytes: usize, sent_at: Instant) {
        self.queue.push_back((last, bytes, sent_at));
        self.bytes += bytes;
    }

    /// Drops the messages whose entries are all acknowledged.
    pub fn acknowledge(&mut self, matched: u64) {
        while let Some((_, bytes, _)) = self.queue.pop_front_if(|(last, _, _)| *last <= matched) {
            self.bytes -= bytes;
        }
    }
}

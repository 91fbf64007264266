use {
    super::Fault,
    std::time::{Duration, Instant},
};

/// Bytes that count as progress of a body. A body that gets single bytes makes none.
const PROGRESS_BYTES: u64 = 1 << 10;

/// Chunks after which the size of chunks is looked at.
const MIN_CHUNKS: u64 = 1024;

/// Bytes of payload to a chunk below which a body is fragmented. The framing of a chunk takes at least 5 bytes, and its
/// decoding as much time as that of some hundred bytes.
const MIN_CHUNK_BYTES: u64 = 64;

/// Follows the arrival of one body.
#[derive(Clone, Debug)]
pub struct Pace {
    stall: Duration,
    /// Bytes a second.
    rate: u32,
    start: Instant,
    last: Instant,
    received: u64,
    marked: u64,
    chunks: u64,
}

impl Pace {
    /// A body whose head arrived at `now`. `rate` is the lowest average in bytes a second after the first `stall`.
    pub fn new(stall: Duration, rate: u32, now: Instant) -> Pace {
        Pace {
            stall,
            rate,
            start: now,
            last: now,
            received: 0,
            marked: 0,
            chunks: 0,
        }
    }

    /// Notes the arrival of a chunk. Returns whether the body has made progress since this last returned true.
    pub fn arrived(&mut self, bytes: usize, now: Instant) -> bool {
        self.last = now;
        self.chunks += 1;
        self.received += bytes as u64;
        let progress = self.received - self.marked >= PROGRESS_BYTES;
        if progress {
            self.marked = self.received;
        }
        progress
    }

    /// Whether the body comes in very small chunks.
    pub fn is_fragmented(&self) -> bool {
        self.chunks >= MIN_CHUNKS && self.received < self.chunks * MIN_CHUNK_BYTES
    }

    /// When the body is refused if nothing more arrives.
    pub fn due(&self) -> Instant {
        (self.last + self.stall).min(self.rate_due())
    }

    /// Why the body is refused at `now`, if it is.
    pub fn fault(&self, now: Instant) -> Option<Fault> {
        if now >= self.last + self.stall {
            Some(Fault::Stalled)
        } else if now >= self.rate_due() {
            Some(Fault::Slow)
        } else {
            None
        }
    }

    fn rate_due(&self) -> Instant {
        let paid = Duration::from_secs_f64(self.received as f64 / f64::from(self.rate.max(1)));
        self.start + self.stall + paid
    }
}

use std::time::Duration;

/// Time within which an upstream that leaves lists its next ends, and they are committed.
const LISTING_TIME: Duration = Duration::from_millis(300);

/// Longest wait for the ends of an upstream that leaves. It must be shorter than the second for which the upstream waits
/// for the acknowledgement.
const MAX_WAIT: Duration = Duration::from_millis(900);

/// The wait for the last ends of an upstream that leaves. It ends once it has the answer, and tasks whose ends it has not
/// listed by then run again.
#[derive(Debug, Default)]
pub struct FinalEnds {
    waited: Duration,
    last_end: u64,
}

impl FinalEnds {
    /// How long to wait before the upstream is removed or this is called again; none if it is removed now. `last_end` is the
    /// number of its last committed end, and `has_runs` tells whether it has runs without a committed end.
    ///
    /// An upstream lists many ends in parts, so the wait goes on while further ends arrive.
    pub fn next_wait(&mut self, last_end: u64, has_runs: bool) -> Option<Duration> {
        let is_first = self.waited.is_zero();
        let are_arriving = has_runs && last_end > self.last_end;
        if !is_first && (!are_arriving || self.waited >= MAX_WAIT) {
            return None;
        }
        self.last_end = last_end;
        self.waited += LISTING_TIME;
        Some(LISTING_TIME)
    }
}

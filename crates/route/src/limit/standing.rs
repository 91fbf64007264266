use std::time::{Duration, Instant};

/// Time for which a queue must not have been short to count as standing: longer than a burst that the
/// slots absorb.
const INTERVAL: Duration = Duration::from_millis(500);

/// Least wait that is always allowed; below it the timer of the listener shows.
const MIN_BOUND: Duration = Duration::from_millis(20);

/// Detects a standing queue, one that does not drain as it does after a burst, and then bounds the wait.
///
/// A standing queue makes no slot busier. It only ages the requests in it, so that more of them miss their
/// deadline, and it delays those that arrive after the overload.
#[derive(Clone, Debug)]
pub struct Standing {
    since: Instant,
    shortest: Duration,
    standing: bool,
}

impl Standing {
    /// Returns the state of a queue that starts empty.
    pub fn new(now: Instant) -> Standing {
        Standing {
            since: now,
            shortest: Duration::ZERO,
            standing: false,
        }
    }

    /// Records the predicted wait of an arriving request, and returns the longest wait to be allowed now, if
    /// the queue stands. `mean` is the mean service time: a queue worth one service time keeps every slot
    /// busy.
    pub fn observe(&mut self, wait: Duration, mean: Duration, now: Instant) -> Option<Duration> {
        let bound = mean.max(MIN_BOUND);
        self.shortest = self.shortest.min(wait);
        if now.duration_since(self.since) >= INTERVAL {
            self.standing = self.shortest > bound / 2;
            self.since = now;
            self.shortest = wait;
        }
        self.standing.then_some(bound)
    }
}

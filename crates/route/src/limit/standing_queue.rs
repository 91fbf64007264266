use std::time::{Duration, Instant};

/// Time for which a queue must not have been short to count as standing: longer than a burst that the
/// slots absorb.
const STANDING_INTERVAL: Duration = Duration::from_millis(500);

/// Least wait that is always allowed; below it the timer of the listener shows.
const MIN_BOUND: Duration = Duration::from_millis(20);

/// Detects a standing queue, one that does not drain as it does after a burst, and then bounds the wait.
///
/// A standing queue makes no slot busier. It only ages the requests in it, so that more of them miss their
/// deadline, and it delays those that arrive after the overload.
#[derive(Clone, Debug)]
pub struct StandingQueue {
    interval_start: Instant,
    shortest_wait: Duration,
    standing: bool,
}

impl StandingQueue {
    /// Returns the state of a queue that starts empty.
    pub fn new(now: Instant) -> StandingQueue {
        StandingQueue {
            interval_start: now,
            shortest_wait: Duration::ZERO,
            standing: false,
        }
    }

    /// Records the predicted wait of an arriving request, and returns the longest wait to be allowed now, if
    /// the queue stands. `mean` is the mean service time: a queue worth one service time keeps every slot
    /// busy.
    pub fn observe(&mut self, wait: Duration, mean: Duration, now: Instant) -> Option<Duration> {
        let bound = mean.max(MIN_BOUND);
        self.shortest_wait = self.shortest_wait.min(wait);
        if now.duration_since(self.interval_start) >= STANDING_INTERVAL {
            self.standing = self.shortest_wait > bound / 2;
            self.interval_start = now;
            self.shortest_wait = wait;
        }
        self.standing.then_some(bound)
    }
}

use std::time::{Duration, Instant};

/// Interval over which the shortest predicted wait is taken. A burst that the slots absorb is shorter.
const STANDING_INTERVAL: Duration = Duration::from_millis(500);

/// Smallest bound on the wait. Shorter waits are within the resolution of the listener's timer.
const MIN_BOUND: Duration = Duration::from_millis(20);

/// Detects a standing queue, which stays long instead of draining as it does after a burst, and then bounds the
/// wait.
///
/// A standing queue does not increase throughput, as all slots are busy anyway. It only adds latency: more of
/// the waiting requests miss their deadline, and those that arrive after the overload wait longer.
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

    /// Records the predicted wait of an arriving request. Returns the longest wait to be allowed now, or none
    /// if there is no standing queue.
    ///
    /// The bound is the mean service time `mean`, as a queue that takes this long to drain already keeps every
    /// slot busy. The queue is standing if no wait in the last interval was shorter than half the bound.
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

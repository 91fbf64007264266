use std::time::{Duration, Instant};

/// Time for which an unanswered call may still be carried out. The limit that the platform documents is 12 s.
pub(super) const LATE_CALL_LIMIT: Duration = Duration::from_secs(15);

/// Starts of a run that its upstream may still carry out, in whichever incarnation they reach.
#[derive(Clone, Copy, Debug)]
pub(super) struct OpenStarts {
    /// Number of starts without an answer which nothing shows to have been carried out.
    count: u32,
    /// Time after which none of them is carried out.
    until: Instant,
    /// Whether a start was answered. The run at the upstream is then the work of that start, and tells nothing of others.
    has_answer: bool,
}

impl OpenStarts {
    /// No start was sent before now.
    pub fn none(now: Instant) -> OpenStarts {
        OpenStarts {
            count: 0,
            until: now,
            has_answer: false,
        }
    }

    /// An earlier leader may have sent any number of starts until now.
    pub fn inherited(now: Instant) -> OpenStarts {
        OpenStarts::inherited_until(now + LATE_CALL_LIMIT)
    }

    /// An earlier leader had sent starts that are carried out until the given time, if at all.
    pub fn inherited_until(until: Instant) -> OpenStarts {
        OpenStarts {
            count: 1,
            until,
            has_answer: true,
        }
    }

    /// Records that the wait for an answer ended without one. Until then the start may not even have been sent.
    pub fn record_unanswered(&mut self, now: Instant) {
        self.count += 1;
        self.until = now + LATE_CALL_LIMIT;
    }

    /// Records the answer to a start.
    pub fn record_answer(&mut self) {
        self.has_answer = true;
    }

    /// Records that the upstream has listed the run while no answer was awaited. Each start is carried out once at most.
    pub fn record_listed(&mut self) {
        if self.count == 1 && !self.has_answer {
            self.count = 0;
            self.has_answer = true;
        }
    }

    /// Records that an incarnation has answered a call that was sent at the given time. Later ones begin after that.
    pub fn record_contact(&mut self, sent: Instant) {
        if sent > self.until {
            self.count = 0;
        }
    }

    /// Records that nothing carries them out any more.
    pub fn clear(&mut self) {
        self.count = 0;
    }

    /// Whether there were any.
    pub fn is_empty(&self) -> bool {
        self.count == 0
    }

    /// Time after which none is carried out; none if there is no such start.
    pub fn until(&self) -> Option<Instant> {
        (self.count > 0).then_some(self.until)
    }
}

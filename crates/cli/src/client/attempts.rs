use std::time::{Duration, Instant};

/// Wait after the first round in which every instance failed; doubled after each further one.
const FIRST_WAIT: Duration = Duration::from_millis(100);

/// Longest wait between two rounds. An election takes at most 2 s.
const MAX_WAIT: Duration = Duration::from_secs(2);

/// What was seen of one try.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Seen {
    /// No connection was made, so nothing was sent.
    Unconnected,
    /// The instance says that nothing was changed.
    NotRun,
    /// Something may have been sent and no usable answer came.
    Lost,
}

/// What to do next.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Step {
    /// Send to the instance of this index and wait for the answer at most this long.
    Try(usize, Duration),
    /// Wait before the next round.
    Wait(Duration),
    /// Give up.
    End(Verdict),
}

/// What the tries without a usable answer mean.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// Nothing was changed; at least one instance said so and nothing was sent to others.
    NotRun,
    /// The change may have been made.
    Unknown,
    /// No instance was reached, or none answered a reading call.
    Unreachable,
}

/// Decides which instance is tried next and what the failures mean together. Pure; times are passed
/// in.
#[derive(Clone, Debug)]
pub struct Attempts {
    instances: usize,
    changes: bool,
    per_try: Duration,
    end: Instant,
    next: usize,
    round: usize,
    wait: Duration,
    waited: bool,
    tried: bool,
    not_run: bool,
    lost: bool,
}

impl Attempts {
    /// Starts tries of a call at the instance `first`. `changes` tells whether the call changes
    /// something.
    pub fn new(
        instances: usize,
        first: usize,
        changes: bool,
        per_try: Duration,
        total: Duration,
        now: Instant,
    ) -> Attempts {
        Attempts {
            instances,
            changes,
            per_try,
            end: now + total,
            next: first % instances.max(1),
            round: 0,
            wait: FIRST_WAIT,
            waited: true,
            tried: false,
            not_run: false,
            lost: false,
        }
    }

    /// Returns the next step.
    pub fn step(&mut self, now: Instant) -> Step {
        let left = self.end.saturating_duration_since(now);
        if self.instances == 0 || (left.is_zero() && self.tried) {
            return Step::End(self.verdict());
        }
        if !self.waited {
            self.waited = true;
            let wait = self.wait;
            self.wait = (wait * 2).min(MAX_WAIT);
            // A wait up to the end would leave no time for another try.
            return if wait < left {
                Step::Wait(wait)
            } else {
                Step::End(self.verdict())
            };
        }
        self.tried = true;
        Step::Try(self.next, self.per_try.min(left))
    }

    /// Takes note of the failure of the last try.
    pub fn failed(&mut self, seen: Seen) {
        match seen {
            Seen::Unconnected => {}
            Seen::NotRun => self.not_run = true,
            Seen::Lost => self.lost = true,
        }
        self.next = (self.next + 1) % self.instances.max(1);
        self.round += 1;
        if self.round >= self.instances {
            self.round = 0;
            self.waited = false;
        }
    }

    /// Tells whether a try that changes something may have been carried out without an answer.
    pub fn in_doubt(&self) -> bool {
        self.changes && self.lost
    }

    /// A later "nothing was changed" does not cancel an earlier lost answer: the first send may still
    /// be carried out.
    fn verdict(&self) -> Verdict {
        if !self.changes {
            Verdict::Unreachable
        } else if self.lost {
            Verdict::Unknown
        } else if self.not_run {
            Verdict::NotRun
        } else {
            Verdict::Unreachable
        }
    }
}

use {
    super::{Action, Outcome, Router, pending::Attempt},
    std::time::{Duration, Instant},
};

/// Longest time between the count of busy slots in an announcement and the arrival of that announcement, and the
/// longest time between the decision to send a request and its arrival at the upstream.
const COUNT_DELAY: Duration = Duration::from_secs(1);

/// Age that an announcement must have before its count is compared with the attempts in flight. Answers that the
/// upstream sent before it counted have arrived by then.
const ANSWER_DELAY: Duration = Duration::from_millis(100);

/// Time after which an unresolved attempt no longer occupies its slot, whatever the upstream announces. While other
/// instances keep all slots of an upstream busy, its announcements never show that an attempt has ended.
const UNRESOLVED_LIMIT: Duration = Duration::from_secs(10);

/// Attempts that were given up although the upstream may still run them.
impl Router {
    /// Ends the request of an attempt, and keeps its slot in use.
    pub(super) fn leave_unresolved(
        &mut self,
        attempt: u64,
        now: Instant,
        actions: &mut Vec<Action>,
    ) {
        let Some(left) = self.attempts.get_mut(&attempt) else {
            return;
        };
        left.unresolved_since.get_or_insert(now);
        let request = left.request;
        if let Some(pending) = self.pending.get_mut(&request) {
            pending.attempts.retain(|id| *id != attempt);
            if pending.attempts.is_empty() {
                self.remove(request, actions);
            }
        }
    }

    /// Frees the slots of unresolved attempts that their upstreams do not run any more.
    pub(super) fn release_unresolved(&mut self, now: Instant) {
        let unresolved = self.attempts.iter().filter_map(|(id, attempt)| {
            let since = attempt.unresolved_since?;
            Some((*id, attempt.started, since))
        });
        let mut unresolved: Vec<(u64, Instant, Instant)> = unresolved.collect();
        unresolved.sort_unstable();
        for (id, _, since) in unresolved {
            let Some(attempt) = self.attempts.get(&id) else {
                continue;
            };
            if now < since + UNRESOLVED_LIMIT && self.may_still_run(attempt, now) {
                continue;
            }
            if let Some(ended) = self.attempts.remove(&id) {
                let elapsed = now.duration_since(ended.started);
                self.free_slot(&ended, elapsed, Outcome::Unresolved, now);
            }
        }
    }

    /// Whether the upstream of an unresolved attempt may still run it. It does not if it counted fewer busy slots than
    /// this instance alone has attempts there. An upstream that does not announce its busy slots is taken to have
    /// stopped.
    fn may_still_run(&self, attempt: &Attempt, now: Instant) -> bool {
        let Some((announcement, age)) = self.members.last_announcement(&attempt.upstream, now)
        else {
            return true;
        };
        let Some(busy) = announcement.busy else {
            return false;
        };
        let counted = now.checked_sub(age + COUNT_DELAY);
        let arrived = |other: &&Attempt| {
            other.upstream == attempt.upstream && counted.is_some_and(|at| other.started < at)
        };
        let in_flight = self.attempts.values().filter(arrived).count();
        age < ANSWER_DELAY || usize::from(busy) >= in_flight || !arrived(&attempt)
    }
}

use {
    crate::fault::{self, Fault},
    indexmap::IndexMap,
    std::time::{Duration, Instant},
};

/// Added to the lease on the leader's side for clocks that run at different rates, as a fraction.
const DRIFT_DIVISOR: u32 = 20;

#[derive(Clone, Copy, Debug)]
struct Entry {
    applied: u64,
    lease_end: Instant,
}

/// What the config leader knows of its followers in one term.
///
/// It starts empty: until one lease has passed since the start of its leadership, every instance that has not
/// reported may hold a lease that an earlier leader granted.
#[derive(Debug, Default)]
pub struct Ledger {
    /// By instance and incarnation: a process that was replaced may still run with its lease.
    entries: IndexMap<(u64, u64), Entry>,
    term: u64,
}

impl Ledger {
    /// Forgets what another term's leader knew.
    pub fn enter(&mut self, term: u64) {
        if self.term != term {
            self.term = term;
            self.entries.clear();
        }
    }

    /// Records that a follower has applied a number and is granted a lease at `now`.
    pub fn grant(&mut self, follower: (u64, u64), applied: u64, now: Instant, lease: Duration) {
        let lease_end = now + lease + lease / DRIFT_DIVISOR;
        self.entries.retain(|_, entry| now < entry.lease_end);
        let entry = self
            .entries
            .entry(follower)
            .or_insert(Entry { applied, lease_end });
        entry.applied = entry.applied.max(applied);
        entry.lease_end = entry.lease_end.max(lease_end);
    }

    /// Last number that a live instance reported.
    pub fn applied(&self, instance: u64, now: Instant) -> Option<u64> {
        self.live(instance, now).map(|entry| entry.applied).min()
    }

    /// Tells whether a process holds a lease.
    pub fn is_live(&self, follower: (u64, u64), now: Instant) -> bool {
        let entry = self.entries.get(&follower);
        entry.is_some_and(|entry| now < entry.lease_end)
    }

    /// Instances that may still use a configuration older than `number`.
    pub fn missing(
        &self,
        number: u64,
        instances: impl IntoIterator<Item = u64>,
        leading_since: Instant,
        lease: Duration,
        now: Instant,
    ) -> Vec<u64> {
        // A predecessor may have granted a lease to an earlier process of an instance, whose successor
        // reports a newer number, so one report doesn't speak for the instance before all are known.
        let all_known = now >= leading_since + lease + lease / DRIFT_DIVISOR
            || fault::is(Fault::PredecessorForgotten);
        instances
            .into_iter()
            .filter(|id| !all_known || self.live(*id, now).any(|entry| entry.applied < number))
            .collect()
    }

    fn live(&self, instance: u64, now: Instant) -> impl Iterator<Item = &Entry> {
        self.entries
            .iter()
            .filter(move |((id, _), entry)| *id == instance && now < entry.lease_end)
            .map(|(_, entry)| entry)
    }
}

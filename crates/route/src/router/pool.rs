use std::time::{Duration, Instant};

/// What was seen is forgotten after one to two times this: long enough to remember a burst that comes a few
/// times a minute.
const WINDOW: Duration = Duration::from_secs(20);

/// Highest number of slots that is told apart.
const MOST: usize = 1024;

/// Part of the short requests that should find a slot at once.
const AT_ONCE: f64 = 0.995;

/// The upstreams of one service in one region, as far as this instance may use them.
#[derive(Debug)]
pub(super) struct Pool {
    pub(super) service: String,
    pub(super) region: String,
    pub(super) slots: u32,
    pub(super) batch: u32,
    pub(super) short: u32,
    /// Short requests that wait for a slot here.
    pub(super) waiting: u32,
    /// How often a short request arrived when short work, with it, needed this many slots.
    seen: [Vec<f64>; 2],
    since: Instant,
    created: Instant,
    /// Slots that sufficed for [`AT_ONCE`] of them.
    needed: u32,
}

impl Pool {
    pub(super) fn new(service: &str, region: &str, now: Instant) -> Pool {
        Pool {
            service: service.to_owned(),
            region: region.to_owned(),
            slots: 0,
            batch: 0,
            short: 0,
            waiting: 0,
            seen: Default::default(),
            since: now,
            created: now,
            needed: 0,
        }
    }

    /// Remembers how many slots short work needs when a short request arrives.
    pub(super) fn arrived(&mut self) {
        if self.slots == 0 {
            // Without a share everything waits, which says nothing about the need.
            return;
        }
        let need = ((self.short + self.waiting + 1) as usize).min(MOST);
        let seen = &mut self.seen[0];
        if seen.len() <= need {
            seen.resize(need + 1, 0.0);
        }
        seen[need] += 1.0;
    }

    /// Recalculates the slots that short work needs; called each tick.
    pub(super) fn learn(&mut self, now: Instant) {
        if now.duration_since(self.since) >= WINDOW {
            self.seen.swap(0, 1);
            self.seen[0].clear();
            self.since = now;
        }
        let total: f64 = self.seen.iter().flatten().sum();
        let mut above = total * (1.0 - AT_ONCE);
        // An instance that has just started has seen no burst yet.
        let learning = now.duration_since(self.created) < WINDOW;
        self.needed = if learning { self.slots / 2 } else { 0 };
        let most = self.seen.iter().map(Vec::len).max().unwrap_or(0);
        for need in (0..most).rev() {
            above -= self
                .seen
                .iter()
                .filter_map(|seen| seen.get(need))
                .sum::<f64>();
            if above < 0.0 {
                self.needed = self.needed.max(need as u32);
                return;
            }
        }
    }

    /// Tells whether a further batch request leaves the slots that are kept for short work: one in
    /// `reserve`, and if `adaptive` as many as short work needed lately.
    pub(super) fn is_open(&self, reserve: u32, adaptive: bool) -> bool {
        let lately = if adaptive { self.needed } else { 0 };
        let kept = self.slots.div_ceil(reserve).max(lately);
        self.batch + kept < self.slots
    }
}

use std::time::{Duration, Instant};

/// What was seen is forgotten after one to two times this: long enough to remember a burst that comes a few
/// times a minute.
const WINDOW: Duration = Duration::from_secs(20);

/// Highest number of slots that is told apart.
const MAX_NEED: usize = 1024;

/// Part of the short requests that should find a slot at once.
const IMMEDIATE_FRACTION: f64 = 0.995;

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
    need_counts: [Vec<f64>; 2],
    since: Instant,
    created: Instant,
    /// Slots that sufficed for [`IMMEDIATE_FRACTION`] of them.
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
            need_counts: Default::default(),
            since: now,
            created: now,
            needed: 0,
        }
    }

    /// Remembers how many slots short work needs when a short request arrives.
    pub(super) fn record_arrival(&mut self) {
        if self.slots == 0 {
            // Without a share everything waits, which says nothing about the need.
            return;
        }
        let need = ((self.short + self.waiting + 1) as usize).min(MAX_NEED);
        let need_counts = &mut self.need_counts[0];
        if need_counts.len() <= need {
            need_counts.resize(need + 1, 0.0);
        }
        need_counts[need] += 1.0;
    }

    /// Recalculates the slots that short work needs; called each tick.
    pub(super) fn update_needed(&mut self, now: Instant) {
        if now.duration_since(self.since) >= WINDOW {
            self.need_counts.swap(0, 1);
            self.need_counts[0].clear();
            self.since = now;
        }
        let total: f64 = self.need_counts.iter().flatten().sum();
        let mut above = total * (1.0 - IMMEDIATE_FRACTION);
        // An instance that has just started has seen no burst yet.
        let learning = now.duration_since(self.created) < WINDOW;
        self.needed = if learning { self.slots / 2 } else { 0 };
        let max_len = self.need_counts.iter().map(Vec::len).max().unwrap_or(0);
        for need in (0..max_len).rev() {
            above -= self
                .need_counts
                .iter()
                .filter_map(|need_counts| need_counts.get(need))
                .sum::<f64>();
            if above < 0.0 {
                self.needed = self.needed.max(need as u32);
                return;
            }
        }
    }

    /// Tells whether a further batch request leaves the slots that are kept for short work: one in
    /// `reserve`, and if `adaptive` as many as short work needed lately.
    pub(super) fn admits_batch(&self, reserve: u32, adaptive: bool) -> bool {
        let lately = if adaptive { self.needed } else { 0 };
        let kept = self.slots.div_ceil(reserve).max(lately);
        self.batch + kept < self.slots
    }
}

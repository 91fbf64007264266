use std::time::{Duration, Instant};

/// Counts of arrivals are dropped when they are one to two times this old. That is long enough to reserve slots
/// for a burst that recurs a few times a minute.
const ARRIVAL_WINDOW: Duration = Duration::from_secs(20);

/// Largest need, in slots, that the histogram tells apart; greater ones are counted as this.
const MAX_NEED: usize = 1024;

/// Fraction of the short requests that should find a free slot on arrival.
const IMMEDIATE_FRACTION: f64 = 0.995;

/// The slots of one service in one region that this instance may use.
#[derive(Clone, Debug)]
pub(super) struct Pool {
    pub(super) service: String,
    pub(super) region: String,
    pub(super) slots: u32,
    /// Batch requests in flight.
    pub(super) batch: u32,
    /// Short requests in flight.
    pub(super) short: u32,
    /// Short requests that wait for a slot here.
    pub(super) waiting: u32,
    /// Histogram: number of short requests on whose arrival short requests, the new one included, needed this
    /// many slots. The current window, and the one before.
    need_counts: [Vec<f64>; 2],
    window_start: Instant,
    created: Instant,
    /// Slots that were enough for [`IMMEDIATE_FRACTION`] of these arrivals.
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
            window_start: now,
            created: now,
            needed: 0,
        }
    }

    /// Records how many slots short requests need on the arrival of one.
    pub(super) fn record_arrival(&mut self) {
        if self.slots == 0 {
            // Without slots all requests wait, so their number does not show the need.
            return;
        }
        let need = ((self.short + self.waiting + 1) as usize).min(MAX_NEED);
        let need_counts = &mut self.need_counts[0];
        if need_counts.len() <= need {
            need_counts.resize(need + 1, 0.0);
        }
        need_counts[need] += 1.0;
    }

    /// Updates the number of slots that short requests need; called on each tick.
    pub(super) fn update_needed(&mut self, now: Instant) {
        if now.duration_since(self.window_start) >= ARRIVAL_WINDOW {
            self.need_counts.swap(0, 1);
            self.need_counts[0].clear();
            self.window_start = now;
        }
        let total: f64 = self.need_counts.iter().flatten().sum();
        let mut above = total * (1.0 - IMMEDIATE_FRACTION);
        // Shortly after the start, the counts may not contain a burst yet.
        let is_new = now.duration_since(self.created) < ARRIVAL_WINDOW;
        self.needed = if is_new { self.slots / 2 } else { 0 };
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

    /// Tells whether one more batch request leaves the slots free that are reserved for short requests: one in
    /// `reserve` or, if `adaptive`, the number that they needed lately, whichever is greater.
    pub(super) fn admits_batch(&self, reserve: u32, adaptive: bool) -> bool {
        let needed_lately = if adaptive { self.needed } else { 0 };
        let reserved = self.slots.div_ceil(reserve).max(needed_lately);
        self.batch + reserved < self.slots
    }
}

/// Width of a bucket in milliseconds and number of buckets, from fine to coarse.
///
/// Together they hold the windows of the burn rates (1 h, 6 h, 3 d) and the budget period (30 d) in
/// 166 buckets a series. Each has one bucket more than its longest window, since the newest bucket
/// is not complete.
pub(crate) const TIERS: [(u64, usize); 4] = [
    (60_000, 61),
    (600_000, 37),
    (7_200_000, 37),
    (86_400_000, 31),
];

/// Returns the index of the finest tier that holds `window_ms`.
pub(crate) fn tier_of(window_ms: u64) -> usize {
    TIERS
        .iter()
        .position(|&(width, count)| window_ms <= width * (count as u64 - 1))
        .unwrap_or(TIERS.len() - 1)
}

#[derive(Clone, Copy, Debug, Default)]
struct Bucket {
    good: u32,
    bad: u32,
}

/// A ring of buckets of one width.
#[derive(Clone, Debug)]
pub(crate) struct Tier {
    width_ms: u64,
    newest: u64,
    buckets: Box<[Bucket]>,
}

impl Tier {
    pub(crate) fn new(width_ms: u64, count: usize) -> Tier {
        Tier {
            width_ms,
            newest: 0,
            buckets: vec![Bucket::default(); count].into(),
        }
    }

    pub(crate) fn add(&mut self, at_ms: u64, good: bool) {
        let index = at_ms / self.width_ms;
        self.roll(index);
        // Callers on other threads may read their clock before a caller that came first.
        let index = index.max((self.newest + 1).saturating_sub(self.buckets.len() as u64));
        let bucket = self.bucket(index);
        let count = if good {
            &mut bucket.good
        } else {
            &mut bucket.bad
        };
        *count = count.saturating_add(1);
    }

    /// Returns `(age in buckets, good, bad)` of the buckets that are not empty, newest first.
    pub(crate) fn cells(&self, at_ms: u64) -> Vec<(u16, u32, u32)> {
        let now = (at_ms / self.width_ms).max(self.newest);
        let length = self.buckets.len() as u64;
        (now.saturating_sub(length - 1)..=now.min(self.newest))
            .rev()
            .filter(|index| index + length > self.newest)
            .map(|index| {
                let bucket = &self.buckets[(index % length) as usize];
                ((now - index) as u16, bucket.good, bucket.bad)
            })
            .filter(|&(_, good, bad)| good > 0 || bad > 0)
            .collect()
    }

    fn roll(&mut self, index: u64) {
        let length = self.buckets.len() as u64;
        if index > self.newest {
            let first = (self.newest + 1).max((index + 1).saturating_sub(length));
            for cleared in first..=index {
                *self.bucket(cleared) = Bucket::default();
            }
            self.newest = index;
        }
    }

    fn bucket(&mut self, index: u64) -> &mut Bucket {
        let position = index % self.buckets.len() as u64;
        &mut self.buckets[position as usize]
    }
}

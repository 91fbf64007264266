/// Milliseconds after which a new generation of reasons begins. The previous one is kept, so reasons
/// cover the last 3 to 6 days.
const GENERATION_MS: u64 = 3 * 86_400_000;

/// Distinct reasons counted in one generation of a series.
const MAX_PER_SERIES: usize = 8;

/// Counts of bad events by the index of their reason, in two generations.
#[derive(Clone, Debug, Default)]
pub(crate) struct Reasons {
    generation: u64,
    current: Vec<(u8, u32)>,
    previous: Vec<(u8, u32)>,
}

impl Reasons {
    /// Counts a reason; `other` is counted instead when the generation holds enough of them.
    pub(crate) fn add(&mut self, at_ms: u64, reason: u8, other: u8) {
        self.roll(at_ms);
        let full = self.current.len() >= MAX_PER_SERIES;
        let known = |list: &[(u8, u32)], id: u8| list.iter().position(|&(held, _)| held == id);
        let position = known(&self.current, reason)
            .or_else(|| known(&self.current, other).filter(|_| full))
            .unwrap_or_else(|| {
                self.current.push((if full { other } else { reason }, 0));
                self.current.len() - 1
            });
        let count = &mut self.current[position].1;
        *count = count.saturating_add(1);
    }

    /// Returns `(reason, count)` of both generations.
    pub(crate) fn totals(&self, at_ms: u64) -> Vec<(u8, u64)> {
        let mut view = self.clone();
        view.roll(at_ms);
        let mut totals: Vec<(u8, u64)> = Vec::new();
        for (id, count) in view.current.into_iter().chain(view.previous) {
            match totals.iter_mut().find(|(held, _)| *held == id) {
                Some((_, total)) => *total += u64::from(count),
                None => totals.push((id, u64::from(count))),
            }
        }
        totals
    }

    fn roll(&mut self, at_ms: u64) {
        let generation = at_ms / GENERATION_MS;
        if generation > self.generation {
            let current = std::mem::take(&mut self.current);
            self.previous = if generation == self.generation + 1 {
                current
            } else {
                Vec::new()
            };
            self.generation = generation;
        }
    }
}

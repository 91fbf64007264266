use {
    std::time::Instant,
    work::{collections::IndexMap, id},
};

/// Variance of the logarithm of a step's real duration against the expected one: estimates are off by up to 1.9 either
/// way, and 3 % of the jobs take 7 times as long.
const ESTIMATE_VARIANCE: f64 = 0.4;

/// Variance of the logarithm of a speed before it is measured: upstreams differ by up to 1.6 either way.
const SPEED_VARIANCE: f64 = 0.16;

/// Weight below which durations tell nothing.
const MIN_WEIGHT: f64 = 0.1;

/// Least variance of the work of a step, however many of its tasks were seen.
const MIN_VARIANCE: f64 = 0.002;

/// What is known of the work of a step's tasks, as the logarithm of their duration at nominal speed.
#[derive(Clone, Debug, Default)]
pub(super) struct StepWork {
    upstreams: IndexMap<id::Upstream, Part>,
    /// Sums over the parts.
    weight: f64,
    weighted: f64,
}

/// The tasks of a step on one upstream.
#[derive(Clone, Debug, Default)]
struct Part {
    /// Logarithm of the latest duration of each task, and its time.
    durations: IndexMap<u16, (f64, Instant)>,
    /// Level of the upstream and its variance before this step: what the step tells of an upstream must not confirm what it
    /// tells of the others.
    before: (f64, f64),
    weight: f64,
    work: f64,
}

impl StepWork {
    /// Mean and variance of the work of a task, from the expected duration and the tasks on other upstreams; none
    /// without either.
    pub fn without(&self, upstream: &id::Upstream, expected_ms: f64) -> Option<(f64, f64)> {
        let own = self.upstreams.get(upstream);
        let (own, own_work) = own.map_or((0.0, 0.0), |part| (part.weight, part.work));
        let mut weight = (self.weight - own).max(0.0);
        let mut weighted = self.weighted - own * own_work;
        if expected_ms > 0.0 {
            weight += 1.0 / ESTIMATE_VARIANCE;
            weighted += expected_ms.ln() / ESTIMATE_VARIANCE;
        }
        (weight > MIN_WEIGHT).then(|| (weighted / weight, (1.0 / weight).max(MIN_VARIANCE)))
    }

    /// Takes note of the level of an upstream and its variance, if no task of the step was seen there before.
    pub fn enter(&mut self, upstream: &id::Upstream, level: f64, variance: f64) {
        let entry = self.upstreams.entry(upstream.clone());
        entry.or_insert_with(|| Part {
            before: (level, variance.min(SPEED_VARIANCE)),
            ..Part::default()
        });
    }

    /// Records the duration of a task on an upstream. Returns the difference from another task that the upstream has
    /// reported at the same time, which is not due to its speed.
    pub fn record(
        &mut self,
        upstream: &id::Upstream,
        index: u16,
        duration: f64,
        now: Instant,
    ) -> Option<f64> {
        let part = self.upstreams.entry(upstream.clone()).or_default();
        let latest = part
            .durations
            .last()
            .map(|(index, latest)| (*index, *latest));
        part.durations.shift_remove(&index);
        part.durations.insert(index, (duration, now));
        let other = latest.filter(|(other, (_, at))| *other != index && *at == now);
        other.map(|(_, (other, _))| duration - other)
    }

    /// Mean of the durations on an upstream, and their number.
    pub fn duration(&self, upstream: &id::Upstream) -> Option<(f64, usize)> {
        let durations = &self.upstreams.get(upstream)?.durations;
        let sum: f64 = durations.values().map(|(duration, _)| duration).sum();
        Some((sum / durations.len() as f64, durations.len()))
    }

    /// Uses the durations on an upstream for the work of the step, or ignores them if they do not fit to its speed.
    pub fn set_use(&mut self, upstream: &id::Upstream, duration: f64, variance: f64, fits: bool) {
        let Some(part) = self.upstreams.get_mut(upstream) else {
            return;
        };
        let (level, level_variance) = part.before;
        let work = duration + level;
        let weight = match fits {
            true => 1.0 / (variance + level_variance).max(MIN_VARIANCE),
            false => 0.0,
        };
        self.weight += weight - part.weight;
        self.weighted += weight * work - part.weight * part.work;
        part.weight = weight;
        part.work = work;
    }
}

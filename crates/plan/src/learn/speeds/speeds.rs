use {
    super::{
        Sample,
        fleet::Fleet,
        record::{Record, Verdict},
        step_work::StepWork,
    },
    std::time::{Duration, Instant},
    work::{
        collections::IndexMap,
        id,
        registry::Registry,
        upstream::{Speed, Upstream},
    },
};

/// Spread of the speeds of a fleet, as a standard deviation of their logarithms, from which its upstreams count as
/// uneven. Less is within the slack of objectives.
const UNEVEN_SPREAD: f64 = 0.2;

/// Spread below which an uneven fleet counts as alike again.
const ALIKE_SPREAD: f64 = 0.12;

/// Standard deviations by which an uncertain speed is assumed to be lower than its estimate, or higher if work is to be
/// stopped because it is low.
const CAUTION_DEVIATIONS: f64 = 0.5;

/// Minimum interval between two summaries of the fleet.
const REFRESH_INTERVAL: Duration = Duration::from_millis(250);

/// Variance of the work of the tasks of one step before it was measured: tasks differ by 15 to 30 %.
const FIRST_UNEVENNESS: f64 = 0.04;

/// Bounds of the measured variance.
const UNEVENNESS_BOUNDS: (f64, f64) = (0.005, 0.25);

/// Weight of a new observation of that variance.
const UNEVENNESS_WEIGHT: f64 = 0.02;

/// Bound of one observation of that variance.
const MAX_UNEVENNESS: f64 = 0.5;

/// Differences of speed up to this one are not logged.
const LOGGED_CHANGE: f64 = 0.25;

/// Maximum number of upstreams that one summary logs.
const MAX_LOGGED: usize = 16;

/// Speeds of upstreams: a task takes its expected duration divided by the speed.
///
/// Upstreams of which nothing is known have the speed that their group (label, rack or data centre) proves to have, or
/// else that of the fleet. In a fleet of alike upstreams, all speeds are 1.
#[derive(Clone, Debug)]
pub struct Speeds {
    records: IndexMap<id::Upstream, Record>,
    steps: IndexMap<id::Task, StepWork>,
    /// Variance of the logarithm of the work of the tasks of one step.
    unevenness: f64,
    /// Speeds and their standard errors; empty while the upstreams are alike.
    known: IndexMap<id::Upstream, Known>,
    is_uneven: bool,
    spread: f64,
    measured: usize,
    has_news: bool,
    next_refresh: Option<Instant>,
    /// What an earlier leader had learned and was not compared with the registry yet, and when it was current.
    inherited: Option<(Vec<Speed>, Instant)>,
}

#[derive(Clone, Copy, Debug)]
struct Known {
    speed: f64,
    error: f64,
    logged: f64,
}

impl Default for Speeds {
    fn default() -> Speeds {
        Speeds {
            records: IndexMap::default(),
            steps: IndexMap::default(),
            unevenness: FIRST_UNEVENNESS,
            known: IndexMap::default(),
            is_uneven: false,
            spread: 0.0,
            measured: 0,
            has_news: false,
            next_refresh: None,
            inherited: None,
        }
    }
}

impl Speeds {
    /// Speed of an upstream; 1 if it is unknown.
    pub fn speed(&self, upstream: &Upstream) -> f64 {
        self.known.get(&upstream.id).map_or(1.0, |own| own.speed)
    }

    /// Speed that an upstream has at least, as far as it is known; 1 if it is unknown.
    pub fn cautious_speed(&self, upstream: &Upstream) -> f64 {
        let own = self.known.get(&upstream.id);
        own.map_or(1.0, |own| {
            own.speed * (-CAUTION_DEVIATIONS * own.error).exp()
        })
    }

    /// Speed that an upstream has at most, as far as it is known; 1 if it is unknown.
    pub fn hopeful_speed(&self, upstream: &Upstream) -> f64 {
        let own = self.known.get(&upstream.id);
        own.map_or(1.0, |own| {
            own.speed * (CAUTION_DEVIATIONS * own.error).exp()
        })
    }

    /// Number of samples of the speed of an upstream, of this incarnation and of earlier ones of the same kind.
    pub fn samples(&self, upstream: &Upstream) -> u32 {
        let record = self.records.get(&upstream.id);
        record.map_or(0, |record| record.samples)
    }

    /// Whether the upstreams differ.
    pub fn is_uneven(&self) -> bool {
        self.is_uneven
    }

    /// Number of upstreams that are measured.
    pub fn measured(&self) -> usize {
        self.measured
    }

    /// Standard deviation of the logarithms of the speeds.
    pub fn spread(&self) -> f64 {
        self.spread
    }

    /// What the next leader should know of the upstreams; nothing while they count as alike.
    pub fn learned(&self, now: Instant) -> Vec<Speed> {
        if !self.is_uneven {
            return Vec::new();
        }
        let records = self.records.iter();
        let records = records.filter(|(_, record)| record.samples > 0);
        records
            .map(|(id, record)| record.learned(id, now))
            .collect()
    }

    /// Begins with what an earlier leader had learned, which was current at `at`.
    pub fn inherit(&mut self, speeds: &[Speed], at: Instant) {
        self.inherited = Some((speeds.to_vec(), at));
        self.has_news = true;
    }

    /// Takes over what was inherited of the incarnations that are registered and not measured yet.
    fn take_inherited(&mut self, registry: &Registry) {
        let Some((speeds, at)) = self.inherited.take() else {
            return;
        };
        for speed in speeds {
            let upstream = registry.upstream(&speed.upstream);
            if let Some(upstream) = upstream.filter(|known| known.born_ms == speed.born_ms) {
                let record = || Record::inherited(upstream, &speed, at);
                self.records
                    .entry(speed.upstream.clone())
                    .or_insert_with(record);
            }
        }
    }

    /// Learns from the progress of runs that an upstream has reported together.
    pub fn observe(&mut self, upstream: &Upstream, samples: &mut [Sample], now: Instant) {
        samples.sort_unstable_by_key(|sample| sample.task);
        for samples in samples.chunk_by(|a, b| a.task.is_same_step(&b.task)) {
            self.observe_step(upstream, samples, now);
        }
    }

    /// Learns from the progress of tasks of one step. They count as one sample, as they share the work of the step.
    fn observe_step(&mut self, upstream: &Upstream, samples: &[Sample], now: Instant) {
        let Some(first) = samples.first() else {
            return;
        };
        let id = &upstream.id;
        let first_task = id::Task {
            index: 0,
            ..first.task
        };
        let record = self
            .records
            .entry(id.clone())
            .or_insert_with(|| Record::new(upstream, now));
        if !record.is_of(upstream) && !record.restart(upstream) {
            *record = Record::new(upstream, now);
        }
        let step = self.steps.entry(first_task).or_default();
        step.enter(id, record.level, record.variance);
        for sample in samples {
            let duration = sample.duration_ms.max(1.0).ln();
            let difference = step.record(id, sample.task.index, duration, now);
            if let Some(difference) = difference {
                let seen = difference * difference / 2.0 - sample.error * sample.error;
                let seen = seen.clamp(0.0, MAX_UNEVENNESS);
                let (low, high) = UNEVENNESS_BOUNDS;
                self.unevenness += UNEVENNESS_WEIGHT * (seen - self.unevenness);
                self.unevenness = self.unevenness.clamp(low, high);
            }
        }
        let Some((duration, count)) = step.duration(id) else {
            return;
        };
        // All intervals of a run share the difference between its work and that of the other tasks, and what is known of
        // those.
        let intervals = samples.iter().map(|sample| sample.number).max();
        let intervals = f64::from(intervals.unwrap_or(1).max(1));
        let own_variance = (first.error * first.error + self.unevenness * intervals) / count as f64;
        let mut verdict = Verdict::Used;
        if let Some((work, work_variance)) = step.without(id, first.expected_ms) {
            let changes = samples.iter().filter_map(Sample::change);
            let (sum, number) =
                changes.fold((0.0, 0), |(sum, number), change| (sum + change, number + 1));
            let change = (number > 0).then(|| sum / f64::from(number));
            let variance = own_variance + work_variance * intervals;
            let run = (first_task, first.run);
            verdict = record.observe(work - duration, variance, run, change, now);
            if verdict == Verdict::Changed {
                log::info!(
                    "event=upstream_speed_changed upstream={id} speed={:.2} step={first_task} run={}",
                    record.level.exp(),
                    first.run
                );
            }
        }
        step.set_use(id, duration, own_variance, verdict == Verdict::Used);
        self.has_news = true;
    }

    /// Tells that a new incarnation of an upstream has registered. What was learned is kept with less confidence if it
    /// is of the same kind.
    pub fn restart(&mut self, upstream: &Upstream) {
        let record = self.records.get_mut(&upstream.id);
        if record.is_some_and(|record| !record.restart(upstream)) {
            self.forget(&upstream.id);
        }
        self.has_news = true;
    }

    /// Forgets an upstream.
    pub fn forget(&mut self, id: &id::Upstream) {
        self.records.swap_remove(id);
        self.known.swap_remove(id);
    }

    /// Forgets the work of steps whose jobs have ended.
    pub fn prune(&mut self, is_open: impl Fn(id::Job) -> bool) {
        self.steps.retain(|step, _| is_open(step.job));
    }

    /// Summarizes what was learned, if there is news and the interval is over.
    pub fn refresh(&mut self, registry: &Registry, now: Instant) {
        if !self.has_news || self.next_refresh.is_some_and(|at| now < at) {
            return;
        }
        self.next_refresh = Some(now + REFRESH_INTERVAL);
        self.take_inherited(registry);
        for record in self.records.values_mut() {
            record.advance(now);
        }
        let upstreams: Vec<&Upstream> = registry.upstreams().collect();
        let Some(fleet) = Fleet::new(&upstreams, &self.records, now) else {
            return;
        };
        self.spread = fleet.certain_spread;
        self.measured = fleet.measured;
        let bound = match self.is_uneven {
            true => ALIKE_SPREAD,
            false => UNEVEN_SPREAD,
        };
        let was_uneven = std::mem::replace(
            &mut self.is_uneven,
            self.spread >= bound || fleet.has_unlike_group(),
        );
        if was_uneven != self.is_uneven {
            log::info!(
                "event=fleet_speeds uneven={} measured={} spread={:.2} unevenness={:.2}",
                self.is_uneven,
                self.measured,
                self.spread,
                self.unevenness.sqrt()
            );
        }
        if !self.is_uneven {
            self.known.clear();
            self.has_news = false;
            return;
        }
        let mut logged = 0;
        for upstream in upstreams {
            let record = self.records.get(&upstream.id);
            let (level, variance) = fleet.estimate(upstream, record, now);
            let speed = level.exp();
            let error = variance.sqrt();
            let known = self.known.entry(upstream.id.clone()).or_insert(Known {
                speed,
                error,
                logged: 0.0,
            });
            known.speed = speed;
            known.error = error;
            let samples = record.map_or(0, |record| record.samples);
            let has_changed = samples > 0 && (level - known.logged).abs() > LOGGED_CHANGE;
            if has_changed && logged < MAX_LOGGED {
                logged += 1;
                known.logged = level;
                let age = record.map(|record| now.saturating_duration_since(record.at));
                log::info!(
                    "event=upstream_speed upstream={} speed={speed:.2} error={error:.2} samples={samples} age_ms={}",
                    upstream.id,
                    age.unwrap_or_default().as_millis()
                );
            }
        }
    }
}

use {
    std::time::{Duration, Instant},
    work::{
        id,
        job::Resources,
        upstream::{Speed, Upstream},
    },
};

/// Variance of the logarithm of an unknown speed. Wide, so that the first samples decide.
const UNKNOWN_VARIANCE: f64 = 1.0;

/// Variance up to which the previous estimate is trusted when a sample is compared with it.
const GATE_VARIANCE: f64 = 0.16;

/// Variance that is added each second without a sample, as upstreams may change.
const DRIFT_PER_S: f64 = 0.0005;

/// Variance that is added when an upstream of the same kind restarts.
const RESTART_VARIANCE: f64 = 0.09;

/// Variance of an estimate that is taken up again after a change that has passed.
const RESUMED_VARIANCE: f64 = 0.09;

/// Variance that is added when another leader takes an estimate over: it may have changed since it was told.
const INHERITED_VARIANCE: f64 = 0.01;

/// Scale of the numbers in [`Speed`].
const SPEED_SCALE: f64 = 100.0;

/// Deviation from the estimate, in standard deviations, from which a sample is doubted.
const DOUBT_DEVIATIONS: f64 = 3.0;

/// Difference of the logarithms of two speeds from which a sample may be doubted, or a run counts as changed; less
/// is within the unevenness of tasks.
const MIN_CHANGE: f64 = 0.5;

/// Largest logarithm of a speed.
const MAX_LEVEL: f64 = 2.5;

/// Time without samples after which a changed speed is assumed to be what it was before the change.
const CHANGE_FADES_AFTER: Duration = Duration::from_secs(6);

/// Time after which a change counts as lasting.
const CHANGE_LASTS_AFTER: Duration = Duration::from_secs(20);

/// What became of a sample.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Verdict {
    /// It was used.
    Used,
    /// It was ignored, as it may be due to its run.
    Doubted,
    /// The speed has changed.
    Changed,
}

/// Estimate of the speed of one incarnation of an upstream, as the logarithm of its speed.
#[derive(Clone, Debug)]
pub(super) struct Record {
    /// Logarithm of the speed.
    pub level: f64,
    /// Variance of the level.
    pub variance: f64,
    /// Number of samples.
    pub samples: u32,
    /// Time of the latest sample.
    pub at: Instant,
    /// Time of the first sample.
    since: Instant,
    born_ms: u64,
    labels: Vec<String>,
    capacity: Resources,
    /// Run and deviation of the latest sample, if it was doubted.
    doubted: Option<((id::Task, u32), f64)>,
    /// Level before a change, and the time of the change.
    earlier: Option<(f64, Instant)>,
}

impl Record {
    pub fn new(upstream: &Upstream, now: Instant) -> Record {
        Record {
            level: 0.0,
            variance: UNKNOWN_VARIANCE,
            samples: 0,
            at: now,
            since: now,
            born_ms: upstream.born_ms,
            labels: upstream.labels.clone(),
            capacity: upstream.capacity,
            doubted: None,
            earlier: None,
        }
    }

    /// Continues what another leader had learned of this incarnation, which was current at `at`.
    pub fn inherited(upstream: &Upstream, speed: &Speed, at: Instant) -> Record {
        let error = f64::from(speed.error) / SPEED_SCALE;
        Record {
            level: (f64::from(speed.level) / SPEED_SCALE).clamp(-MAX_LEVEL, MAX_LEVEL),
            variance: (error * error + INHERITED_VARIANCE).min(UNKNOWN_VARIANCE),
            samples: 1,
            ..Record::new(upstream, at)
        }
    }

    /// What the next leader should know; a change that may pass is not part of it.
    pub fn learned(&self, id: &id::Upstream, now: Instant) -> Speed {
        let (level, variance) = match self.earlier {
            Some((level, _)) => (level, RESUMED_VARIANCE),
            None => (self.level, self.variance_at(now)),
        };
        Speed {
            upstream: id.clone(),
            born_ms: self.born_ms,
            level: (level * SPEED_SCALE).round() as i16,
            error: (variance.sqrt() * SPEED_SCALE).ceil() as u16,
        }
    }

    /// Whether the record is of this incarnation.
    pub fn is_of(&self, upstream: &Upstream) -> bool {
        self.born_ms == upstream.born_ms
    }

    /// Continues the record for a new incarnation of the same kind; `false` if it is of another kind.
    pub fn restart(&mut self, upstream: &Upstream) -> bool {
        let is_same_kind = self.labels == upstream.labels && self.capacity == upstream.capacity;
        if is_same_kind && self.born_ms < upstream.born_ms {
            if let Some((level, _)) = self.earlier.take() {
                self.level = level;
            }
            self.born_ms = upstream.born_ms;
            self.variance = (self.variance + RESTART_VARIANCE).min(UNKNOWN_VARIANCE);
            self.doubted = None;
        }
        is_same_kind
    }

    /// Accounts for the time since the latest sample.
    pub fn advance(&mut self, now: Instant) {
        let silent = now.saturating_duration_since(self.at);
        if let Some((level, since)) = self.earlier {
            if silent >= CHANGE_FADES_AFTER {
                self.level = level;
                self.variance = RESUMED_VARIANCE;
                self.earlier = None;
            } else if now.saturating_duration_since(since) >= CHANGE_LASTS_AFTER {
                self.earlier = None;
            }
        }
    }

    /// Variance now, which grows without samples.
    pub fn variance_at(&self, now: Instant) -> f64 {
        let silent = now.saturating_duration_since(self.at);
        (self.variance + DRIFT_PER_S * silent.as_secs_f64()).min(UNKNOWN_VARIANCE)
    }

    /// Updates the estimate with a sample of the level. `change` is the logarithm of the run's rate compared with its
    /// previous interval.
    ///
    /// A sample far from the estimate is used only if another run or a change of the same run confirms it: a single
    /// run may be a straggler.
    pub fn observe(
        &mut self,
        sample: f64,
        sample_variance: f64,
        run: (id::Task, u32),
        change: Option<f64>,
        now: Instant,
    ) -> Verdict {
        self.advance(now);
        self.variance = self.variance_at(now);
        self.at = now;
        let sample = sample.clamp(-MAX_LEVEL, MAX_LEVEL);
        let deviation = sample - self.level;
        let expected = (self.variance.min(GATE_VARIANCE) + sample_variance).sqrt();
        // What was reported together first is not compared.
        let is_far = self.since < now
            && deviation.abs() > MIN_CHANGE
            && deviation.abs() > DOUBT_DEVIATIONS * expected;
        if is_far {
            let is_same_way = |other: f64| (other > 0.0) == (deviation > 0.0);
            let has_changed =
                change.is_some_and(|change| change.abs() > MIN_CHANGE && is_same_way(change));
            let is_repeated = self
                .doubted
                .is_some_and(|(other, earlier)| other != run && is_same_way(earlier));
            if !has_changed && !is_repeated {
                self.doubted = Some((run, deviation));
                return Verdict::Doubted;
            }
            self.earlier = match self.earlier.take() {
                // Back to what it was before.
                Some((level, _)) if (sample - level).abs() < MIN_CHANGE => None,
                Some(earlier) => Some(earlier),
                None => Some((self.level, now)),
            };
            self.level = sample;
            self.variance = sample_variance;
        } else {
            let gain = self.variance / (self.variance + sample_variance);
            self.level += gain * deviation;
            self.variance *= 1.0 - gain;
        }
        self.doubted = None;
        self.samples += 1;
        match is_far {
            true => Verdict::Changed,
            false => Verdict::Used,
        }
    }
}

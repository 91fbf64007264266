use {
    super::{Engine, engine::RunKey, tracked_run::Phase},
    crate::learn::Sample,
    work::{
        id,
        job::Step,
        registry::{Job, Registry},
        upstream::Upstream,
    },
};

/// Progress in percent from which an interval tells the rate of a run.
const MIN_PERCENT: u8 = 4;

/// Least length of an interval in milliseconds, many times the delays between an upstream's clock and its report.
const MIN_INTERVAL_MS: u64 = 300;

/// Standard error of the difference of two progresses in percent, which are reported in whole percent.
const PERCENT_ERROR: f64 = 0.4;

/// Standard error of the length of an interval in milliseconds.
const CLOCK_ERROR_MS: f64 = 10.0;

/// Standard error of the length of an interval that includes the begin of the work, in milliseconds.
const BEGIN_ERROR_MS: f64 = 150.0;

/// Progress of a run at one report, from which its rate is measured.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Pace {
    /// Clock of the upstream in milliseconds and progress in percent at the begin of the interval.
    begin: Option<(u64, u8)>,
    /// Whether the work may have begun, or resumed, within the interval.
    is_uncertain: bool,
    /// Duration of the whole task in milliseconds at the rate of the previous interval.
    previous_ms: Option<f64>,
    /// Number of intervals measured.
    intervals: u32,
}

/// A measured interval.
struct Interval {
    duration_ms: f64,
    error: f64,
    previous_ms: Option<f64>,
    number: u32,
}

impl Pace {
    /// Takes a report; returns the interval that it ends, if that is long enough.
    fn report(&mut self, clock_ms: u64, percent: u8, is_uncertain: bool) -> Option<Interval> {
        let Some((begin_ms, begin)) = self.begin else {
            self.begin = (percent < 100).then_some((clock_ms, percent));
            self.is_uncertain = is_uncertain;
            return None;
        };
        let elapsed_ms = clock_ms.saturating_sub(begin_ms);
        let progress = percent.saturating_sub(begin);
        // A task that waits for the others of its gang stands at 100 %.
        if progress < MIN_PERCENT || elapsed_ms < MIN_INTERVAL_MS || percent >= 100 {
            return None;
        }
        let begin_error = match self.is_uncertain {
            true => BEGIN_ERROR_MS,
            false => CLOCK_ERROR_MS,
        };
        let percent_error = PERCENT_ERROR / f64::from(progress);
        let time_error = begin_error / elapsed_ms as f64;
        let duration_ms = elapsed_ms as f64 * 100.0 / f64::from(progress);
        self.intervals += 1;
        self.begin = Some((clock_ms, percent));
        self.is_uncertain = false;
        Some(Interval {
            duration_ms,
            error: percent_error.hypot(time_error),
            previous_ms: self.previous_ms.replace(duration_ms),
            number: self.intervals,
        })
    }
}

/// Measurement of the speeds of upstreams from the reports of their runs.
impl Engine {
    /// Measures the progress that an upstream reports for one of its runs.
    pub(super) fn measure_pace(
        &mut self,
        registry: &Registry,
        upstream: &Upstream,
        key: RunKey,
        clock_ms: u64,
        percent: u8,
    ) -> Option<Sample> {
        let (job, step) = (registry.job(key.0.job)?, registry.step(&key.0)?);
        if step.lasting || step.filler {
            return None;
        }
        let tracked = self.tracked_runs.get(&key)?;
        // What an earlier incarnation was told to run may have begun at any time.
        let is_other_life = tracked.born_ms != upstream.born_ms;
        if tracked.stopping.is_some() || is_other_life || self.is_cold(&upstream.id) {
            return None;
        }
        let is_first = tracked.pace.begin.is_none();
        if is_first && percent == 0 && !self.has_begun(registry, key, step) {
            return None;
        }
        let expected_ms = self.expected_ms_on(registry, job, step, key, upstream);
        let tracked = self.tracked_runs.get_mut(&key)?;
        let is_uncertain = percent == 0 || tracked.resumed || !tracked.checkpoint.is_empty();
        let interval = tracked.pace.report(clock_ms, percent, is_uncertain)?;
        Some(Sample {
            task: key.0,
            run: key.1,
            expected_ms,
            duration_ms: interval.duration_ms,
            error: interval.error,
            previous_ms: interval.previous_ms,
            number: interval.number,
        })
    }

    /// Whether a run without progress is at work: the members of a gang wait for each other.
    fn has_begun(&self, registry: &Registry, key: RunKey, step: &Step) -> bool {
        if !step.gang {
            return true;
        }
        let members = self.gang_members(registry, key);
        let is_started = |member: &RunKey| {
            let tracked = self.tracked_runs.get(member);
            tracked.is_some_and(|tracked| matches!(tracked.phase, Phase::Started { .. }))
        };
        members.len() == usize::from(step.count) && members.iter().all(is_started)
    }

    /// Expected duration of a run at nominal speed in milliseconds, at its distance from its data and its gang.
    fn expected_ms_on(
        &self,
        registry: &Registry,
        job: &Job,
        step: &Step,
        key: RunKey,
        upstream: &Upstream,
    ) -> f64 {
        let is_away = |rack: &String| *rack != upstream.rack;
        let is_far = step.data_rack.as_ref().is_some_and(is_away)
            || (step.gang && step.same_rack && self.is_spread(registry, key, upstream));
        let factor = match is_far {
            true => self.settings.far_factor,
            false => 1.0,
        };
        self.estimator.expected_ms(job, step) * factor
    }

    /// Whether another member of the gang runs on another rack.
    fn is_spread(&self, registry: &Registry, key: RunKey, upstream: &Upstream) -> bool {
        let is_elsewhere = |id: &id::Upstream| {
            let other = registry.upstream(id);
            other.is_some_and(|other| other.rack != upstream.rack)
        };
        let progress = registry.progress(&key.0);
        let tasks = progress.into_iter().flat_map(|step| &step.tasks);
        let mut runs = tasks.flat_map(|task| &task.live);
        runs.any(|run| run.number == key.1 && is_elsewhere(&run.upstream))
    }
}

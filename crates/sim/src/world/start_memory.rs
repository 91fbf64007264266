use {
    plan::engine::Engine,
    std::time::{Duration, Instant},
    work::{registry::Registry, upstream::StartReport},
};

/// Minimum interval between two copies of the report of the own engine.
const COPY_INTERVAL: Duration = Duration::from_millis(500);

/// What an instance remembers of the open starts of the latest leader, with the rules of `dispatch`.
#[derive(Clone, Debug, Default)]
pub(super) struct StartMemory {
    report: StartReport,
    at: Option<Instant>,
}

impl StartMemory {
    /// What is remembered.
    pub fn report(&self) -> &StartReport {
        &self.report
    }

    /// Replaces what is remembered by what a leader has told, unless a later report is known.
    pub fn replace(&mut self, report: StartReport, now: Instant) {
        if report.covered_ms >= self.report.covered_ms {
            self.report = report;
            self.at = Some(now);
        }
    }

    /// Copies the report of the engine of this instance, at an interval.
    pub fn copy(&mut self, engine: &Engine, registry: &Registry, now: Instant) {
        if self.at.is_none_or(|at| now >= at + COPY_INTERVAL) {
            self.replace(engine.start_report(registry), now);
        }
    }

    /// Lets an engine whose term begins go on with what is remembered.
    pub fn hand_over(&self, engine: &mut Engine) {
        if let Some(at) = self.at {
            engine.inherit_starts(&self.report, at);
        }
    }
}
